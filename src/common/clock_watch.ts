import type { Deadline } from "./deadline.ts";
import type { IClock } from "./types.ts";

/**
 * Difference between the two clocks above which the machine was suspended or
 * its time of day was set, in milliseconds. Clocks that drift stay below it
 * between two checks.
 */
const DISTURBANCE_MILLISECONDS = 250;

/**
 * Tells whether durations on the monotonic clock can be relied on.
 *
 * The monotonic clock stands still while a machine is suspended, and the time
 * of day goes on. If the two have moved apart since the last check, the machine
 * was suspended, or its time of day was set; nothing tells which.
 */
export class ClockWatch {
  #clock: IClock;
  #offset: number;
  #disturbedAt = Number.NEGATIVE_INFINITY;
  #disturbances = 0;

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#offset = this.#currentOffset();
  }

  /** Number of times at which the clocks have moved apart. */
  get disturbances(): number {
    this.#check();
    return this.#disturbances;
  }

  /** Whether the clocks have moved together since a point in time. */
  isContinuousSince(time: Deadline): boolean {
    this.#check();
    return time > this.#disturbedAt;
  }

  #check(): void {
    const offset = this.#currentOffset();
    if (Math.abs(offset - this.#offset) > DISTURBANCE_MILLISECONDS) {
      this.#disturbedAt = this.#clock.monotonic();
      this.#disturbances += 1;
    }
    this.#offset = offset;
  }

  #currentOffset(): number {
    return this.#clock.wall() - this.#clock.monotonic();
  }
}
