import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type PackedHistogram,
} from "hdr-histogram-js";

/** Microseconds in one millisecond; histograms count microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Longest time that is told apart, in milliseconds; longer ones count as it. */
export const MAXIMUM_LATENCY_MILLISECONDS = 3_600_000;

/** Decimal digits of a recorded value that are kept. */
const SIGNIFICANT_DIGITS = 2;

/** Times in an HDR histogram that merges with those of other instances. */
export class LatencyHistogram {
  #histogram = emptyHistogram();

  /**
   * Reads a histogram that `encode` wrote.
   *
   * @throws Error when the text is no encoded histogram.
   */
  static decode(text: string): LatencyHistogram {
    const decoded = new LatencyHistogram();
    const histogram = decodeFromCompressedBase64(text, "packed");
    decoded.#histogram.add(histogram as PackedHistogram);
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
  countsWithin(bounds: readonly number[]): number[] {
    const counts = bounds.map(() => 0);
    const iterator = this.#histogram.recordedValuesIterator;
    iterator.reset();
    while (iterator.hasNext()) {
      const step = iterator.next();
      const lowest = this.#histogram.lowestEquivalentValue(
        step.valueIteratedTo,
      );
      const milliseconds = lowest / MICROSECONDS_PER_MILLISECOND;
      bounds.forEach((bound, index) => {
        if (milliseconds > bound) return;
        counts[index] = step.totalCountToThisValue;
      });
    }
    return counts;
  }

  /** Compressed text form, for messages between instances. */
  encode(): string {
    return encodeIntoCompressedBase64(this.#histogram);
  }
}

/** Packed counters take little memory while few values differ. */
function emptyHistogram(): PackedHistogram {
  return build({
    bitBucketSize: "packed",
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_LATENCY_MILLISECONDS *
      MICROSECONDS_PER_MILLISECOND,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  }) as PackedHistogram;
}
