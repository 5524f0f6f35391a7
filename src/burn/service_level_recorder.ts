import type { IClock } from "../common/mod.ts";
import { LatencyHistogram } from "../metrics/mod.ts";
import type {
  OutcomeBucket,
  OutcomeCounts,
  ServiceLevelSeries,
} from "./messages.ts";
import { emptyCounts } from "./outcome_counts.ts";
import { SpanMap } from "./span_map.ts";
import { mergeSpendings, SpendingLedger } from "./spending_ledger.ts";
import type { IServiceLevelReader, IServiceLevelSample } from "./types.ts";

/** Length of a short span, in milliseconds. */
export const MINUTE_MILLISECONDS = 60_000;

/** Short spans that are kept. */
const MINUTES_KEPT = 60;

/** Length of a long span, in milliseconds. */
export const HALF_HOUR_MILLISECONDS = 1_800_000;

/** Long spans that are kept. */
const HALF_HOURS_KEPT = 48;

/** Length of a span of spendings and of histograms, in milliseconds. */
const DETAIL_SPAN_MILLISECONDS = 6 * 3_600_000;

/** Spans of spendings that are kept. */
const SPENDING_SPANS_KEPT = 4;

/** Spans of histograms that are kept. */
const LATENCY_SPANS_KEPT = 2;

/** Pairs of a service and a caller group that are told apart. */
export const MAXIMUM_SERIES = 128;

/** Caller group of a service's requests beyond the bound on series. */
export const OVERFLOW_GROUP = "(other groups)";

/** Service of requests beyond the bound on services. */
export const OVERFLOW_SERVICE = "(other services)";

/**
 * Counts finished live requests in bounded memory.
 *
 * What was recorded is lost when the process ends.
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
    return this.#find(service, callerGroup, MAXIMUM_SERIES) ??
      this.#find(service, OVERFLOW_GROUP, MAXIMUM_SERIES * 2) ??
      this.#find(OVERFLOW_SERVICE, OVERFLOW_GROUP, Infinity) ??
      this.#begin(OVERFLOW_SERVICE, OVERFLOW_GROUP);
  }

  /** Finds a series, or begins it while there are fewer than the maximum. */
  #find(
    service: string,
    callerGroup: string,
    maximum: number,
  ): Series | undefined {
    const existing = this.#series.get(seriesKey(service, callerGroup));
    if (existing || this.#series.size >= maximum) return existing;
    return this.#begin(service, callerGroup);
  }

  #begin(service: string, callerGroup: string): Series {
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
  #minutes = new SpanMap(emptyCounts, {
    width: MINUTE_MILLISECONDS,
    maximum: MINUTES_KEPT,
  });
  #halfHours = new SpanMap(emptyCounts, {
    width: HALF_HOUR_MILLISECONDS,
    maximum: HALF_HOURS_KEPT,
  });
  #spending = new SpanMap(() => new SpendingLedger(), {
    width: DETAIL_SPAN_MILLISECONDS,
    maximum: SPENDING_SPANS_KEPT,
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
      minutes: bucketsOf(this.#minutes, now),
      halfHours: bucketsOf(this.#halfHours, now),
      spending: mergeSpendings(
        this.#spending.read(now).flatMap(({ value }) => value.read()),
      ),
      firstToken: this.#firstToken.read(now).encode(),
      betweenTokens: this.#betweenTokens.read(now).encode(),
    };
  }
}

function bucketsOf(
  spans: SpanMap<OutcomeCounts>,
  now: number,
): OutcomeBucket[] {
  return spans.read(now).map(({ at, value }) => ({ at, counts: { ...value } }));
}

/** Times of the present and the previous span. */
class RecentLatency {
  #spans = new SpanMap(() => new LatencyHistogram(), {
    width: DETAIL_SPAN_MILLISECONDS,
    maximum: LATENCY_SPANS_KEPT,
  });

  record(at: number, milliseconds: number | undefined): void {
    if (milliseconds !== undefined) this.#spans.get(at).record(milliseconds);
  }

  read(now: number): LatencyHistogram {
    const merged = new LatencyHistogram();
    for (const { value } of this.#spans.read(now)) merged.add(value);
    return merged;
  }
}
