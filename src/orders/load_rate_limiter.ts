import type { Deadline, IClock } from "../common/mod.ts";

/** Used unless the configuration sets `weightsStore.loadsPerMinute`. */
const DEFAULT_LOADS_PER_MINUTE = 12;

const MILLISECONDS_PER_MINUTE = 60_000;

/** Limits the rate of loads from the weights store by a minimum interval. */
export class LoadRateLimiter {
  #clock: IClock;
  #lastLoadAt: Deadline;

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#lastLoadAt = clock.monotonic();
  }

  /**
   * Delays the next load by a full interval, because an earlier leader may
   * have started a load immediately before this instance took over.
   */
  reset(): void {
    this.#lastLoadAt = this.#clock.monotonic();
  }

  /**
   * Returns whether a load may start now. If so, the next interval starts.
   */
  tryAcquire(loadsPerMinute = DEFAULT_LOADS_PER_MINUTE): boolean {
    const interval = MILLISECONDS_PER_MINUTE / loadsPerMinute;
    const now = this.#clock.monotonic();
    if (now - this.#lastLoadAt < interval) return false;
    this.#lastLoadAt = now;
    return true;
  }
}
