import type { IClock } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";

/** Interval between reads of the replica's state. */
const POLL_INTERVAL_MILLISECONDS = 500;

/**
 * Resolves with a reason once the replica has stopped, for example after a
 * failed write. Never resolves if the signal is aborted first.
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
    if (!signal.aborted && log.status().role === "stopped") {
      return "the replica of the log has stopped; see event replica-failed";
    }
  }
  return await new Promise(() => {});
}
