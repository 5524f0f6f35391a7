import type { IClock } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";

/** Pause between two looks at the state of the replica, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 500;

/**
 * Resolves with a reason when the replica has left the quorum, as after a
 * failed write; never when the signal is aborted before.
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
      return "the replica of the log has stopped; see replica-failed";
    }
  }
  return await new Promise(() => {});
}
