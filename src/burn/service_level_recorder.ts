import type { IClock } from "../common/mod.ts";
import { LatencyHistogram } from "../metrics/mod.ts";
import type {
  OutcomeBucket,
  OutcomeCounts,
  ServiceLevelSeries,
} from "./messages.ts";
import { emptyCounts } from "./outcome_counts.ts";
import { mergeSpendings, SpendingCounter } from "./spending_counter.ts";
import { TimeBucketMap } from "./time_bucket_map.ts";
import type { IServiceLevelReader, IServiceLevelSample } from "./types.ts";

/** Length of a short bucket of outcomes, in milliseconds. */
export const MINUTE_MILLISECONDS = 60_000;

/** Number of short buckets that are retained. */
const RETAINED_MINUTES = 60;

/** Length of a long bucket of outcomes, in milliseconds. */
export const HALF_HOUR_MILLISECONDS = 1_800_000;

/** Number of long buckets that are retained. */
const RETAINED_HALF_HOURS = 48;

/** Length of a bucket of spendings or latencies, in milliseconds. */
const DETAIL_BUCKET_MILLISECONDS = 6 * 3_600_000;

/** Number of buckets of spendings that are retained. */
const RETAINED_SPENDING_BUCKETS = 4;

/** Number of buckets of latencies that are retained. */
const RETAINED_LATENCY_BUCKETS = 2;

/** Maximum pairs of a service and a caller group with a series of their own. */
export const MAXIMUM_SERIES = 128;

/** Caller group that collects a service's requests above the maximum. */
export const OVERFLOW_GROUP = "(other groups)";

/** Service that collects requests above twice `MAXIMUM_SERIES`. */
export const OVERFLOW_SERVICE = "(other services)";

/**
 * Counts finished live requests in bounded memory.
 *
 * The counts are lost when the process ends.
 */
export class ServiceLevelRecorder implements IServiceLevelReader {
  #clock: IClock;
  #series = new Map<string, Series>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  record(sample: IServiceLevelSample): void {
    this.#seriesOf(sample.service, sample.callerGroup)
      .record(this.#clock.wall(), sample);
  }

  read(): ServiceLevelSeries[] {
    return [...this.readEach()];
  }

  *readEach(): Generator<ServiceLevelSeries> {
    for (const series of [...this.#series.values()]) {
      yield series.read(this.#clock.wall());
    }
  }

  #seriesOf(service: string, callerGroup: string): Series {
    return this.#findOrCreate(service, callerGroup, MAXIMUM_SERIES) ??
      this.#findOrCreate(service, OVERFLOW_GROUP, MAXIMUM_SERIES * 2) ??
      this.#findOrCreate(OVERFLOW_SERVICE, OVERFLOW_GROUP, Infinity) ??
      this.#create(OVERFLOW_SERVICE, OVERFLOW_GROUP);
  }

  /** Finds a series, or creates it if there are fewer than the maximum. */
  #findOrCreate(
    service: string,
    callerGroup: string,
    maximum: number,
  ): Series | undefined {
    const existing = this.#series.get(seriesKey(service, callerGroup));
    if (existing || this.#series.size >= maximum) return existing;
    return this.#create(service, callerGroup);
  }

  #create(service: string, callerGroup: string): Series {
    const series = new Series(service, callerGroup);
    this.#series.set(seriesKey(service, callerGroup), series);
    return series;
  }
}

function seriesKey(service: string, callerGroup: string): string {
  return JSON.stringify([service, callerGroup]);
}

/** Requests of one caller group to one service. */
class Series {
  #service: string;
  #callerGroup: string;
  #minutes = new TimeBucketMap(emptyCounts, {
    bucketMilliseconds: MINUTE_MILLISECONDS,
    maximumBuckets: RETAINED_MINUTES,
  });
  #halfHours = new TimeBucketMap(emptyCounts, {
    bucketMilliseconds: HALF_HOUR_MILLISECONDS,
    maximumBuckets: RETAINED_HALF_HOURS,
  });
  #spending = new TimeBucketMap(() => new SpendingCounter(), {
    bucketMilliseconds: DETAIL_BUCKET_MILLISECONDS,
    maximumBuckets: RETAINED_SPENDING_BUCKETS,
  });
  #firstToken = new RecentLatency();
  #betweenTokens = new RecentLatency();

  constructor(service: string, callerGroup: string) {
    this.#service = service;
    this.#callerGroup = callerGroup;
  }

  record(at: number, sample: IServiceLevelSample): void {
    this.#minutes.get(at)[sample.outcome] += 1;
    this.#halfHours.get(at)[sample.outcome] += 1;
    this.#spending.get(at).record(sample);
    this.#firstToken.record(at, sample.firstTokenMilliseconds);
    this.#betweenTokens.record(at, sample.betweenTokensMilliseconds);
  }

  read(now: number): ServiceLevelSeries {
    return {
      service: this.#service,
      callerGroup: this.#callerGroup,
      minutes: toOutcomeBuckets(this.#minutes, now),
      halfHours: toOutcomeBuckets(this.#halfHours, now),
      spending: mergeSpendings(
        this.#spending.read(now).flatMap(({ value }) => value.read()),
      ),
      firstToken: this.#firstToken.read(now).encode(),
      betweenTokens: this.#betweenTokens.read(now).encode(),
    };
  }
}

function toOutcomeBuckets(
  buckets: TimeBucketMap<OutcomeCounts>,
  now: number,
): OutcomeBucket[] {
  return buckets.read(now).map(({ at, value }) => ({
    at,
    counts: { ...value },
  }));
}

/** Latencies of the current and the previous bucket. */
class RecentLatency {
  #buckets = new TimeBucketMap(() => new LatencyHistogram(), {
    bucketMilliseconds: DETAIL_BUCKET_MILLISECONDS,
    maximumBuckets: RETAINED_LATENCY_BUCKETS,
  });

  record(at: number, milliseconds: number | undefined): void {
    if (milliseconds !== undefined) this.#buckets.get(at).record(milliseconds);
  }

  read(now: number): LatencyHistogram {
    const merged = new LatencyHistogram();
    for (const { value } of this.#buckets.read(now)) merged.add(value);
    return merged;
  }
}
