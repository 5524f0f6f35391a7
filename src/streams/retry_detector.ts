import type { Deadline, IClock } from "../common/mod.ts";

/** Share of the longest wait below which a request counts as a retry. */
const RETRY_WAIT_SHARE = 0.97;

/** Time for which the longest wait on a route is remembered. */
const LONGEST_WAIT_LIFETIME_MILLISECONDS = 30_000;

/**
 * Time after the start in which requests count as retries until requests with
 * a longer wait are seen. The first callers after a start have failed to reach
 * an instance before, and give up after a second refusal.
 */
const STARTUP_MILLISECONDS = 3_000;

/** Longest time that a caller on a route was recently willing to wait. */
interface ILongestWait {
  readonly milliseconds: number;
  readonly expiresAt: Deadline;
}

/**
 * Distinguishes requests of callers that retry from first attempts.
 *
 * Each attempt has an identifier of its own, but states how long its caller
 * is willing to wait. A caller with a shorter wait than others has already
 * waited for an earlier attempt.
 */
export class RetryDetector {
  #clock: IClock;
  #longestWaits = new Map<string, ILongestWait>();
  #startupEndsAt: Deadline;
  /** Routes on which both retries and first attempts were seen. */
  #routesWithBothKinds = new Set<string>();

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#startupEndsAt = clock.deadlineIn(STARTUP_MILLISECONDS);
  }

  /** Whether a caller has probably been refused before. */
  isRetry(route: string, waitMilliseconds: number): boolean {
    const known = this.#longestWaits.get(route);
    const isKnown = known && !this.#clock.isPast(known.expiresAt);
    if (!isKnown || waitMilliseconds >= known.milliseconds) {
      const expiresAt = this.#clock.deadlineIn(
        LONGEST_WAIT_LIFETIME_MILLISECONDS,
      );
      this.#longestWaits.set(route, {
        milliseconds: waitMilliseconds,
        expiresAt,
      });
    }
    const longest = isKnown ? known.milliseconds : waitMilliseconds;
    if (waitMilliseconds < RETRY_WAIT_SHARE * longest) {
      this.#routesWithBothKinds.add(route);
      return true;
    }
    const isLongerThanUsual = waitMilliseconds * RETRY_WAIT_SHARE > longest;
    if (isKnown && isLongerThanUsual) this.#routesWithBothKinds.add(route);
    return !this.#routesWithBothKinds.has(route) &&
      !this.#clock.isPast(this.#startupEndsAt);
  }
}
