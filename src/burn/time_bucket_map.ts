/** A value with the begin of its span. */
export interface ITimeBucket<T> {
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly value: T;
}

/**
 * Values in spans of equal length, the latest ones only.
 *
 * Spans begin at whole multiples of their length since the Unix epoch, so
 * the spans of several instances match.
 */
export class TimeBucketMap<T> {
  #create: () => T;
  #bucketMilliseconds: number;
  #maximumBuckets: number;
  #buckets = new Map<number, T>();

  /** @param options length of a span in milliseconds, and spans kept. */
  constructor(
    create: () => T,
    options: { bucketMilliseconds: number; maximumBuckets: number },
  ) {
    this.#create = create;
    this.#bucketMilliseconds = options.bucketMilliseconds;
    this.#maximumBuckets = options.maximumBuckets;
  }

  /** The value of the span that holds a wall time; drops what is too old. */
  get(at: number): T {
    this.#dropOutside(at);
    const start = this.#startOf(at);
    const existing = this.#buckets.get(start);
    if (existing !== undefined) return existing;
    const value = this.#create();
    this.#buckets.set(start, value);
    return value;
  }

  /** Spans that are not too old at the given wall time, oldest first. */
  read(now: number): ITimeBucket<T>[] {
    this.#dropOutside(now);
    return [...this.#buckets]
      .map(([at, value]) => ({ at, value }))
      .sort((first, second) => first.at - second.at);
  }

  /** A wall clock that is set back leaves spans ahead; they go as well. */
  #dropOutside(now: number): void {
    const newest = this.#startOf(now);
    const oldest = newest -
      (this.#maximumBuckets - 1) * this.#bucketMilliseconds;
    for (const start of this.#buckets.keys()) {
      if (start < oldest || start > newest) this.#buckets.delete(start);
    }
  }

  #startOf(at: number): number {
    return Math.floor(at / this.#bucketMilliseconds) * this.#bucketMilliseconds;
  }
}
