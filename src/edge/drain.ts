import { type Deadline, earlierDeadline, type IClock } from "../common/mod.ts";
import type { HttpEdge } from "./http_edge.ts";
import type { Readiness } from "./readiness.ts";

/**
 * Time during which the load balancer may still open connections after the
 * instance reports that it is not ready. The balancer checks once a second and
 * removes the instance after two negative answers.
 */
const BALANCER_DELAY_MILLISECONDS = 2_600;

/**
 * Time that a request may take to arrive on a connection that was accepted
 * before the listener closed.
 */
const ARRIVAL_MILLISECONDS = 500;

/** Interval at which the number of open requests is checked. */
const POLL_INTERVAL_MILLISECONDS = 50;

/**
 * Stops accepting callers' connections and waits until the open requests have
 * been answered. Resolves with the number of requests that are still open at
 * the deadline.
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
  const arrivalDeadline = earlierDeadline(
    clock.deadlineIn(ARRIVAL_MILLISECONDS),
    deadline,
  );
  while (edge.openConnections > 0 && !clock.isPast(arrivalDeadline)) {
    await clock.sleepUntil(clock.deadlineIn(POLL_INTERVAL_MILLISECONDS));
  }
  return await waitUntilIdle(edge, options);
}

/**
 * Waits until a server answers no request. Resolves with the number of requests
 * that are still open at the deadline.
 */
export async function waitUntilIdle(
  edge: HttpEdge,
  options: { clock: IClock; deadline: Deadline },
): Promise<number> {
  const { clock, deadline } = options;
  while (edge.openRequests > 0 && !clock.isPast(deadline)) {
    await clock.sleepUntil(clock.deadlineIn(POLL_INTERVAL_MILLISECONDS));
  }
  return edge.openRequests;
}
