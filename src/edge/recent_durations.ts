import type { Deadline, IClock } from "../common/mod.ts";

/** Time after which a duration no longer counts; at most twice as long. */
const WINDOW_MILLISECONDS = 30_000;

/** Longest durations of requests by kind, over the last minute at most. */
export class RecentDurations {
  #clock: IClock;
  #windowEnd: Deadline;
  #current = new Map<string, number>();
  #previous = new Map<string, number>();

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#windowEnd = clock.deadlineIn(WINDOW_MILLISECONDS);
  }

  record(kind: string, milliseconds: number): void {
    this.#advance();
    const longest = Math.max(this.#current.get(kind) ?? 0, milliseconds);
    this.#current.set(kind, longest);
  }

  /** Longest recent duration in milliseconds; undefined if there was none. */
  longest(kind: string): number | undefined {
    this.#advance();
    const current = this.#current.get(kind);
    const previous = this.#previous.get(kind);
    if (current === undefined || previous === undefined) {
      return current ?? previous;
    }
    return Math.max(current, previous);
  }

  #advance(): void {
    if (!this.#clock.isPast(this.#windowEnd)) return;
    const silence = this.#clock.monotonic() - this.#windowEnd;
    const isOutdated = silence >= WINDOW_MILLISECONDS;
    this.#previous = isOutdated ? new Map() : this.#current;
    this.#current = new Map();
    this.#windowEnd = this.#clock.deadlineIn(WINDOW_MILLISECONDS);
  }
}
