/** Period over which the rate is averaged, in milliseconds. */
const WINDOW_MILLISECONDS = 10_000;

/** Minimum time between two samples, in milliseconds. */
const SAMPLE_INTERVAL_MILLISECONDS = 250;

/** Shortest observed period that yields a rate, in milliseconds. */
const MINIMUM_PERIOD_MILLISECONDS = 1_000;

/** Shortest retry delay of a refused job, in milliseconds. */
const MINIMUM_RETRY_MILLISECONDS = 500;

/** Longest retry delay of a refused job, in milliseconds. */
const MAXIMUM_RETRY_MILLISECONDS = 30_000;

/** Retry delay before anything was seen to drain, in milliseconds. */
const DEFAULT_RETRY_MILLISECONDS = 2_000;

interface ISample {
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  readonly total: number;
}

/** Average rate of a counter over the last seconds. */
export class DrainRate {
  #samples: ISample[] = [];

  /** Records the value of the counter at a monotonic time. */
  sample(at: number, total: number): void {
    const last = this.#samples.at(-1);
    if (last && at < last.at + SAMPLE_INTERVAL_MILLISECONDS) return;
    this.#samples.push({ at, total });
    const oldest = at - WINDOW_MILLISECONDS;
    this.#samples = this.#samples.filter((sample) => sample.at >= oldest);
  }

  /** Estimated time in which an amount drains, as a retry delay. */
  retryMilliseconds(amount: number): number {
    const rate = this.perMillisecond;
    if (rate === undefined) return DEFAULT_RETRY_MILLISECONDS;
    return Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      Math.max(MINIMUM_RETRY_MILLISECONDS, Math.round(amount / rate)),
    );
  }

  /** Increase per millisecond; undefined if nothing was observed to drain. */
  get perMillisecond(): number | undefined {
    const first = this.#samples[0];
    const last = this.#samples.at(-1);
    if (!first || !last) return undefined;
    const period = last.at - first.at;
    const rate = (last.total - first.total) / period;
    return period >= MINIMUM_PERIOD_MILLISECONDS && rate > 0 ? rate : undefined;
  }
}
