import type { Deadline, IClock } from "../common/mod.ts";

/**
 * Time for which an answered request clears its prompt parts, in milliseconds.
 * It is limited, as a release of the engines may make a part harmful.
 */
const CLEARANCE_MILLISECONDS = 60_000;

/** Maximum number of parts that are kept; the oldest are dropped first. */
const MAXIMUM_PARTS = 50_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Prompt parts of the requests that were answered completely of late. */
export class Completions {
  #clock: IClock;
  /** Times until which parts are cleared, in ascending order. */
  #clearedUntil = new Map<string, Deadline>();
  /** Number of completed requests by second. */
  #counts = new Map<number, number>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  record(parts: readonly string[]): void {
    const second = this.#currentSecond();
    this.#counts.set(second, (this.#counts.get(second) ?? 0) + 1);
    this.clear(parts);
  }

  /** Clears parts that another instance has seen answered. */
  clear(parts: readonly string[]): void {
    const until = this.#clock.deadlineIn(CLEARANCE_MILLISECONDS);
    for (const part of parts) {
      this.#clearedUntil.delete(part);
      this.#clearedUntil.set(part, until);
    }
    for (const [part, clearedUntil] of this.#clearedUntil) {
      const isFull = this.#clearedUntil.size > MAXIMUM_PARTS;
      if (!isFull && !this.#clock.isPast(clearedUntil)) break;
      this.#clearedUntil.delete(part);
    }
  }

  isCleared(part: string): boolean {
    const until = this.#clearedUntil.get(part);
    return until !== undefined && !this.#clock.isPast(until);
  }

  /** Number of requests that were completed in the last minute. */
  get count(): number {
    const earliest = this.#currentSecond() -
      CLEARANCE_MILLISECONDS / MILLISECONDS_PER_SECOND;
    let sum = 0;
    for (const [second, count] of this.#counts) {
      if (second < earliest) this.#counts.delete(second);
      else sum += count;
    }
    return sum;
  }

  #currentSecond(): number {
    return Math.floor(this.#clock.monotonic() / MILLISECONDS_PER_SECOND);
  }
}
