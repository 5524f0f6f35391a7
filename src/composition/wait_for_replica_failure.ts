import type { IClock } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";

/** Interval between reads of the replica's state. */
const POLL_INTERVAL_MILLISECONDS = 500;

/**
 * Resolves with a reason once the replica has stopped for good, for example
 * because its files are damaged. Never resolves if the signal is aborted first.
 */
export async function waitForReplicaFailure(
  log: IReplicatedLog,
  clock: IClock,
  signal: AbortSignal,
): Promise<string> {
  while (!signal.aborted) {
    await clock.sleepUntil(
      clock.deadlineIn(POLL_INTERVAL_MILLISECONDS),
      signal,
    );
    if (!signal.aborted && log.failure !== undefined) {
      return `the replica of the log has stopped: ${log.failure}`;
    }
  }
  return await new Promise(() => {});
}
