import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Int32Histogram,
} from "hdr-histogram-js";

/** Microseconds in one millisecond; histograms count microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Longest time that is told apart, in milliseconds; longer ones count as it. */
export const MAXIMUM_LATENCY_MILLISECONDS = 3_600_000;

/** Highest value that a new histogram has room for; it grows as needed. */
const INITIAL_MAXIMUM_MICROSECONDS = 2;

/** Decimal digits of a recorded value that are kept. */
const SIGNIFICANT_DIGITS = 2;

/** Times in an HDR histogram that merges with those of other instances. */
export class LatencyHistogram {
  #histogram = createHistogram();

  /**
   * Reads a histogram that `encode` wrote.
   *
   * @throws Error when the text is no encoded histogram.
   */
  static decode(text: string): LatencyHistogram {
    const decoded = new LatencyHistogram();
    const histogram = decodeFromCompressedBase64(text, 32);
    decoded.#histogram.add(histogram as Int32Histogram);
    return decoded;
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Records a time in milliseconds; what is no number is left out. */
  record(milliseconds: number): void {
    if (Number.isNaN(milliseconds)) return;
    const bounded = Math.min(
      MAXIMUM_LATENCY_MILLISECONDS,
      Math.max(0, milliseconds),
    );
    this.#histogram.recordValue(
      Math.round(bounded * MICROSECONDS_PER_MILLISECOND),
    );
  }

  /** Adds the values of another histogram. */
  add(other: LatencyHistogram): void {
    this.#histogram.add(other.#histogram);
  }

  /** Time that the given percentage of values stays within, in milliseconds. */
  percentile(percentage: number): number {
    return this.#histogram.getValueAtPercentile(percentage) /
      MICROSECONDS_PER_MILLISECOND;
  }

  /**
   * Counts the values up to each bound, within the histogram's resolution.
   *
   * @param bounds in milliseconds, ascending.
   */
  cumulativeCounts(bounds: readonly number[]): number[] {
    const histogram = this.#histogram;
    let index = 0;
    let count = 0;
    return bounds.map((bound) => {
      const last = Math.min(
        histogram.countsArrayIndex(bound * MICROSECONDS_PER_MILLISECOND),
        histogram.countsArrayLength - 1,
      );
      for (; index <= last; index++) count += histogram.getCountAtIndex(index);
      return count;
    });
  }

  /** Compressed text form, for messages between instances. */
  encode(): string {
    return encodeIntoCompressedBase64(this.#histogram);
  }
}

/**
 * Counters are plain: packed ones take less memory while few values differ,
 * but reading and merging them holds up the event loop.
 */
function createHistogram(): Int32Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: INITIAL_MAXIMUM_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  }) as Int32Histogram;
}
