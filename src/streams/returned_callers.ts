import type { Deadline, IClock } from "../common/mod.ts";

/** Share of the usual wait under which a caller has waited before. */
const RETURNED_SHARE = 0.97;

/** Time for which the usual wait is remembered, in milliseconds. */
const MEMORY_MILLISECONDS = 30_000;

/**
 * Time after the start in which callers count as returned until others show
 * that they wait for longer: those that come first have found nobody before,
 * and a second refusal is their last.
 */
const RECOVERY_MILLISECONDS = 3_000;

interface IUsualWait {
  readonly milliseconds: number;
  readonly forgetAt: Deadline;
}

/**
 * Tells callers that come back from those that come for the first time.
 *
 * Each attempt has an identifier of its own, but says how long its caller
 * still waits. A caller that waits for less than others has waited before.
 */
export class ReturnedCallers {
  #clock: IClock;
  #usual = new Map<string, IUsualWait>();
  #recoveredAt: Deadline;
  /** Routes with callers of both kinds, so that they can be told apart. */
  #hasSeenBoth = new Set<string>();

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#recoveredAt = clock.deadlineIn(RECOVERY_MILLISECONDS);
  }

  /** Whether a caller has probably been refused before. */
  hasReturned(route: string, waitMilliseconds: number): boolean {
    const usual = this.#usual.get(route);
    const isKnown = usual && !this.#clock.isPast(usual.forgetAt);
    if (!isKnown || waitMilliseconds >= usual.milliseconds) {
      const forgetAt = this.#clock.deadlineIn(MEMORY_MILLISECONDS);
      this.#usual.set(route, { milliseconds: waitMilliseconds, forgetAt });
    }
    const longest = isKnown ? usual.milliseconds : waitMilliseconds;
    if (waitMilliseconds < RETURNED_SHARE * longest) {
      this.#hasSeenBoth.add(route);
      return true;
    }
    const isFirst = waitMilliseconds * RETURNED_SHARE > longest;
    if (isKnown && isFirst) this.#hasSeenBoth.add(route);
    return !this.#hasSeenBoth.has(route) &&
      !this.#clock.isPast(this.#recoveredAt);
  }
}
