import type { ILatencyEstimate } from "../admission/mod.ts";
import type { Deadline, IClock } from "../common/mod.ts";

/** Measures when the tokens of one answer arrive. */
export class StreamTiming {
  #clock: IClock;
  #startedAt: Deadline;
  #firstAt: Deadline | undefined;
  #latestAt: Deadline | undefined;
  #longestGap = 0;
  #tokens = 0;

  constructor(clock: IClock) {
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
  }

  /** Records the arrival of tokens. */
  recordTokens(count: number): void {
    const now = this.#clock.monotonic();
    this.#tokens += count;
    if (this.#latestAt === undefined) this.#firstAt = now;
    else this.#longestGap = Math.max(this.#longestGap, now - this.#latestAt);
    this.#latestAt = now;
  }

  /** Time to the first token, in milliseconds. */
  get firstTokenMilliseconds(): number | undefined {
    if (this.#firstAt === undefined) return undefined;
    return this.#firstAt - this.#startedAt;
  }

  /** Longest gap between two tokens, in milliseconds. */
  get longestGapMilliseconds(): number | undefined {
    return this.#tokens > 1 ? this.#longestGap : undefined;
  }

  /** Latency of this answer as an estimate; undefined without tokens. */
  get latencyEstimate(): ILatencyEstimate | undefined {
    const first = this.firstTokenMilliseconds;
    if (first === undefined) return undefined;
    const streamMilliseconds = (this.#latestAt ?? 0) - (this.#firstAt ?? 0);
    return {
      firstTokenMilliseconds: first,
      tokenMilliseconds: streamMilliseconds / Math.max(1, this.#tokens - 1),
      tokensPerAnswer: this.#tokens,
    };
  }
}
