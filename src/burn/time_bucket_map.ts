/** A value with the start of its time bucket. */
export interface ITimeBucket<T> {
  /** Start of the bucket, in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly value: T;
}

/**
 * Values by time buckets of equal length. Only the latest buckets are kept.
 *
 * Buckets start at multiples of their length since the Unix epoch, so that the
 * buckets of several instances can be merged.
 */
export class TimeBucketMap<T> {
  #create: () => T;
  #bucketMilliseconds: number;
  #maximumBuckets: number;
  #buckets = new Map<number, T>();

  /**
   * @param create Creates the value of a new bucket.
   * @param options Length of a bucket, and number of buckets that are kept.
   */
  constructor(
    create: () => T,
    options: { bucketMilliseconds: number; maximumBuckets: number },
  ) {
    this.#create = create;
    this.#bucketMilliseconds = options.bucketMilliseconds;
    this.#maximumBuckets = options.maximumBuckets;
  }

  /** Value of the bucket that contains a wall time. Drops expired buckets. */
  get(at: number): T {
    this.#dropOutside(at);
    const start = this.#startOf(at);
    const existing = this.#buckets.get(start);
    if (existing !== undefined) return existing;
    const value = this.#create();
    this.#buckets.set(start, value);
    return value;
  }

  /** Buckets that have not expired at the given wall time, oldest first. */
  read(now: number): ITimeBucket<T>[] {
    this.#dropOutside(now);
    return [...this.#buckets]
      .map(([at, value]) => ({ at, value }))
      .sort((first, second) => first.at - second.at);
  }

  /**
   * Drops expired buckets, and buckets in the future, which remain after the
   * wall clock was set back.
   */
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
