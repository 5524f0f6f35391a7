import type { Deadline, IClock } from "../common/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Token bucket. By default, its capacity is the number of tokens that are added
 * in one second, but at least one.
 */
export class TokenBucket {
  #clock: IClock;
  #initialTokens: number;
  #perSecond = 0;
  #capacity = 0;
  #tokens = 0;
  #filledAt: Deadline | undefined;

  /**
   * @param options.initialTokens tokens at the start, at most the capacity; by
   * default, the bucket starts full.
   */
  constructor(clock: IClock, options: { initialTokens?: number } = {}) {
    this.#clock = clock;
    this.#initialTokens = options.initialTokens ?? Number.POSITIVE_INFINITY;
  }

  /** Tokens that can be taken now. */
  get available(): number {
    this.#refill();
    return Math.max(0, Math.floor(this.#tokens));
  }

  /** Whether further tokens would be lost. */
  get isFull(): boolean {
    this.#refill();
    return this.#tokens >= this.#capacity;
  }

  /** Sets the refill rate; the first call sets the initial tokens as well. */
  setRate(perSecond: number, capacity = Math.max(1, perSecond)): void {
    this.#refill();
    this.#perSecond = perSecond;
    this.#capacity = perSecond > 0 ? capacity : 0;
    if (this.#filledAt === undefined) {
      this.#tokens = this.#initialTokens;
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

  /**
   * Takes tokens that were used before the bucket heard of them, even if it
   * holds fewer; returns them if the number is negative.
   */
  settle(count: number): void {
    this.#refill();
    this.#tokens = Math.min(this.#capacity, this.#tokens - count);
  }

  /** Seconds until a token is available. */
  get secondsToNext(): number {
    return this.#secondsTo(1);
  }

  /** Seconds until the bucket is full. */
  get secondsToFull(): number {
    return this.#secondsTo(this.#capacity);
  }

  #secondsTo(tokens: number): number {
    this.#refill();
    if (this.#perSecond === 0) return 1;
    return Math.max(0, tokens - this.#tokens) / this.#perSecond;
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
