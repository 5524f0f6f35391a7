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
  /** Times at which requests with a part were last answered. */
  #answeredAt = new Map<string, Deadline>();
  /** Number of completed requests by second. */
  #counts = new Map<number, number>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  record(parts: readonly string[]): void {
    const second = this.#currentSecond();
    this.#counts.set(second, (this.#counts.get(second) ?? 0) + 1);
    for (const part of parts) this.clear(part, this.#clock.monotonic());
  }

  /** Clears a part of which a request was answered at a point in time. */
  clear(part: string, answeredAt: Deadline): void {
    const known = this.#answeredAt.get(part) ?? answeredAt;
    this.#answeredAt.delete(part);
    this.#answeredAt.set(part, Math.max(known, answeredAt) as Deadline);
    for (const oldest of this.#answeredAt.keys()) {
      const isFull = this.#answeredAt.size > MAXIMUM_PARTS;
      if (!isFull && this.isCleared(oldest)) break;
      this.#answeredAt.delete(oldest);
    }
  }

  isCleared(part: string): boolean {
    const age = this.age(part);
    return age !== undefined && age < CLEARANCE_MILLISECONDS;
  }

  /** Time since a request with the part was answered, in milliseconds. */
  age(part: string): number | undefined {
    const answeredAt = this.#answeredAt.get(part);
    return answeredAt === undefined
      ? undefined
      : this.#clock.monotonic() - answeredAt;
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
