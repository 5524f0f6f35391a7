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

/** Time for writing the last answers. */
const FLUSH_MILLISECONDS = 200;

/** Other instances accept requests at once. */
const RETRY_MILLISECONDS = 100;

/** Options of `drain`. */
export interface IDrainOptions {
  readonly clock: IClock;
  readonly deadline: Deadline;
  /** Answers the requests that have no answer at the deadline. */
  readonly endUnanswered?: () => void;
}

/**
 * Stops accepting callers' connections and waits until the open requests have
 * been answered. Requests that have arrived in part only by then are refused.
 * Resolves with the number of requests that were open at the deadline.
 */
export async function drain(
  edge: HttpEdge,
  readiness: Readiness,
  options: IDrainOptions,
): Promise<number> {
  const { clock, deadline, endUnanswered } = options;
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
  edge.closeIdleConnections();
  const openRequests = await waitUntilIdle(edge, options);
  endUnanswered?.();
  edge.refuseIncomplete({
    reason: "the instance stops",
    retryMilliseconds: RETRY_MILLISECONDS,
  });
  const flushed = clock.deadlineIn(FLUSH_MILLISECONDS);
  const hasUnsent = () => edge.openConnections > edge.openRequests;
  while (hasUnsent() && !clock.isPast(flushed)) {
    await clock.sleepUntil(clock.deadlineIn(POLL_INTERVAL_MILLISECONDS));
  }
  return openRequests;
}

/**
 * Waits until a server answers no request, and closes connections that become
 * idle. Resolves with the number of requests that are open at the deadline.
 */
export async function waitUntilIdle(
  edge: HttpEdge,
  options: { clock: IClock; deadline: Deadline },
): Promise<number> {
  const { clock, deadline } = options;
  while (edge.openRequests > 0 && !clock.isPast(deadline)) {
    await clock.sleepUntil(clock.deadlineIn(POLL_INTERVAL_MILLISECONDS));
    edge.closeIdleConnections();
  }
  return edge.openRequests;
}
