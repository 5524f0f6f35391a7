/** A value with the begin of its span. */
export interface ISpan<T> {
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
export class SpanMap<T> {
  #create: () => T;
  #width: number;
  #maximum: number;
  #spans = new Map<number, T>();

  /** @param options length of a span in milliseconds, and spans kept. */
  constructor(
    create: () => T,
    options: { width: number; maximum: number },
  ) {
    this.#create = create;
    this.#width = options.width;
    this.#maximum = options.maximum;
  }

  /** The value of the span that holds a wall time; drops what is too old. */
  get(at: number): T {
    this.#dropBefore(at);
    const begin = this.#begin(at);
    const existing = this.#spans.get(begin);
    if (existing !== undefined) return existing;
    const value = this.#create();
    this.#spans.set(begin, value);
    return value;
  }

  /** Spans that are not too old at the given wall time, oldest first. */
  read(now: number): ISpan<T>[] {
    this.#dropBefore(now);
    return [...this.#spans]
      .map(([at, value]) => ({ at, value }))
      .sort((first, second) => first.at - second.at);
  }

  /** A wall clock that is set back leaves spans ahead; they go as well. */
  #dropBefore(now: number): void {
    const newest = this.#begin(now);
    const oldest = newest - (this.#maximum - 1) * this.#width;
    for (const begin of this.#spans.keys()) {
      if (begin < oldest || begin > newest) this.#spans.delete(begin);
    }
  }

  #begin(at: number): number {
    return Math.floor(at / this.#width) * this.#width;
  }
}
