import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Int32Histogram,
} from "hdr-histogram-js";

/** Histograms store microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Longest recorded latency; longer ones are recorded as this value. */
export const MAXIMUM_LATENCY_MILLISECONDS = 3_600_000;

/** Highest value that a new histogram can store; it is resized as needed. */
const INITIAL_MAXIMUM_MICROSECONDS = 2;

/** Decimal digits of precision of a recorded value. */
const SIGNIFICANT_DIGITS = 2;

/** Latencies in an HDR histogram that can be merged across instances. */
export class LatencyHistogram {
  #histogram = createHistogram();

  /**
   * Decodes the output of `encode`.
   *
   * @throws Error if the text is not an encoded histogram.
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

  /** Records a latency in milliseconds; NaN is ignored. */
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

  /** Latency at the given percentile, in milliseconds. */
  percentile(percentage: number): number {
    return this.#histogram.getValueAtPercentile(percentage) /
      MICROSECONDS_PER_MILLISECOND;
  }

  /**
   * Returns the number of values up to each bound, within the resolution of
   * the histogram.
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

  /** Encodes the histogram as compressed text for other instances. */
  encode(): string {
    return encodeIntoCompressedBase64(this.#histogram);
  }
}

/**
 * Creates a histogram with plain counters. Packed counters use less memory
 * while there are few distinct values, but reading and merging them blocks
 * the event loop.
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
