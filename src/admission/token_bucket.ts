import type { Deadline, IClock } from "../common/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Token bucket. Its capacity is the number of tokens that are added in one
 * second, but at least one.
 */
export class TokenBucket {
  #clock: IClock;
  #perSecond = 0;
  #tokens = 0;
  #filledAt: Deadline | undefined;

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  /** Tokens that can be taken now. */
  get available(): number {
    this.#refill();
    return Math.floor(this.#tokens);
  }

  /** Sets the refill rate. The bucket is full when this is first called. */
  setRate(perSecond: number): void {
    this.#refill();
    this.#perSecond = perSecond;
    if (this.#filledAt === undefined) {
      this.#tokens = this.#capacity;
      this.#filledAt = this.#clock.monotonic();
    }
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /** Takes up to the given number of tokens and returns how many it took. */
  take(count: number): number {
    const taken = Math.min(count, this.available);
    this.#tokens -= taken;
    return taken;
  }

  /** Seconds until a token is available. */
  get secondsToNext(): number {
    this.#refill();
    if (this.#perSecond === 0) return 1;
    return Math.max(0, 1 - this.#tokens) / this.#perSecond;
  }

  get #capacity(): number {
    return this.#perSecond > 0 ? Math.max(1, this.#perSecond) : 0;
  }

  #refill(): void {
    if (this.#filledAt === undefined) return;
    const now = this.#clock.monotonic();
    const seconds = (now - this.#filledAt) / MILLISECONDS_PER_SECOND;
    const tokens = this.#tokens + seconds * this.#perSecond;
    this.#tokens = Math.min(this.#capacity, tokens);
    this.#filledAt = now;
  }
}
