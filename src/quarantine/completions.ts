import type { Deadline, IClock } from "../common/mod.ts";
import { isContentId } from "./request_content.ts";

/**
 * Time for which an answered request clears its prompt parts, in milliseconds.
 * It is limited, as a release of the engines may make a part harmful.
 */
const CLEARANCE_MILLISECONDS = 60_000;

/**
 * Maximum number of prompt parts, and of request contents, that are kept; the
 * oldest are dropped first.
 */
const MAXIMUM_PARTS = 50_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Parts and contents of the requests that were answered completely of late. */
export class Completions {
  #clock: IClock;
  /** Times at which requests with a prompt part were last answered. */
  #answeredParts = new Map<string, Deadline>();
  /** The same by content; kept apart, as most contents occur only once. */
  #answeredContents = new Map<string, Deadline>();
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
    const answered = this.#mapOf(part);
    const known = answered.get(part) ?? answeredAt;
    answered.delete(part);
    answered.set(part, Math.max(known, answeredAt) as Deadline);
    for (const oldest of answered.keys()) {
      const isFull = answered.size > MAXIMUM_PARTS;
      if (!isFull && this.isCleared(oldest)) break;
      answered.delete(oldest);
    }
  }

  isCleared(part: string): boolean {
    const age = this.age(part);
    return age !== undefined && age < CLEARANCE_MILLISECONDS;
  }

  /** Time since a request with the part was answered, in milliseconds. */
  age(part: string): number | undefined {
    const answeredAt = this.#mapOf(part).get(part);
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

  #mapOf(part: string): Map<string, Deadline> {
    return isContentId(part) ? this.#answeredContents : this.#answeredParts;
  }

  #currentSecond(): number {
    return Math.floor(this.#clock.monotonic() / MILLISECONDS_PER_SECOND);
  }
}
