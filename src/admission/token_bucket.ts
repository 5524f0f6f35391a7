import type { Deadline, IClock } from "../common/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Token bucket. By default, its capacity is the number of tokens that are added
 * in one second, but at least one.
 */
export class TokenBucket {
  #clock: IClock;
  #startsEmpty: boolean;
  #perSecond = 0;
  #capacity = 0;
  #tokens = 0;
  #filledAt: Deadline | undefined;

  constructor(clock: IClock, options: { startsEmpty?: boolean } = {}) {
    this.#clock = clock;
    this.#startsEmpty = options.startsEmpty ?? false;
  }

  /** Tokens that can be taken now. */
  get available(): number {
    this.#refill();
    return Math.floor(this.#tokens);
  }

  /** Whether further tokens would be lost. */
  get isFull(): boolean {
    this.#refill();
    return this.#tokens >= this.#capacity;
  }

  /**
   * Sets the refill rate. When this is first called, the bucket is full unless
   * it starts empty.
   */
  setRate(perSecond: number, capacity = Math.max(1, perSecond)): void {
    this.#refill();
    this.#perSecond = perSecond;
    this.#capacity = perSecond > 0 ? capacity : 0;
    if (this.#filledAt === undefined) {
      this.#tokens = this.#startsEmpty ? 0 : this.#capacity;
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
