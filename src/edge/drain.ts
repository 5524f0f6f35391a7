import { type Deadline, earlierDeadline, type IClock } from "../common/mod.ts";
import type { HttpEdge } from "./http_edge.ts";
import type { Readiness } from "./readiness.ts";

/**
 * Time in which the balancer still sends connections after the instance has
 * said that it is not ready; it asks once a second and believes two answers.
 */
const BALANCER_DELAY_MILLISECONDS = 2_600;

/** Pause between two looks at what is still open, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 50;

/**
 * Stops taking callers and waits until the open requests are answered.
 * Resolves with the number of those that are still open at the deadline.
 */
export async function drain(
  edge: HttpEdge,
  readiness: Readiness,
  options: { clock: IClock; deadline: Deadline },
): Promise<number> {
  const { clock, deadline } = options;
  readiness.setStopping();
  edge.disableKeepAlive();
  const balancerDeadline = clock.deadlineIn(BALANCER_DELAY_MILLISECONDS);
  await clock.sleepUntil(earlierDeadline(balancerDeadline, deadline));
  edge.closeListener();
  while (edge.openRequests > 0 && !clock.isPast(deadline)) {
    await clock.sleepUntil(clock.deadlineIn(POLL_INTERVAL_MILLISECONDS));
  }
  return edge.openRequests;
}
