import type { Deadline, IClock } from "../common/mod.ts";

/** Loads from the weights store unless the configuration says another. */
const DEFAULT_LOADS_PER_MINUTE = 12;

const MILLISECONDS_PER_MINUTE = 60_000;

/** Spreads loads from the rate-limited weights store over time. */
export class LoadRateLimiter {
  #clock: IClock;
  #lastLoadAt: Deadline;

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#lastLoadAt = clock.monotonic();
  }

  /** Begins anew: an earlier leader may have loaded just now. */
  reset(): void {
    this.#lastLoadAt = this.#clock.monotonic();
  }

  /** Takes the permission for one load; false when it is too early. */
  tryAcquire(loadsPerMinute = DEFAULT_LOADS_PER_MINUTE): boolean {
    const interval = MILLISECONDS_PER_MINUTE / loadsPerMinute;
    const now = this.#clock.monotonic();
    if (now - this.#lastLoadAt < interval) return false;
    this.#lastLoadAt = now;
    return true;
  }
}
