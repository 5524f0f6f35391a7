import { z } from "zod";
import { type Objective, objectiveSchema } from "../configuration/mod.ts";
import { LatencyHistogram } from "../metrics/mod.ts";
import { unansweredSchema } from "../operators/query_members.ts";
import {
  type OutcomeBucket,
  outcomeBucketSchema,
  type OutcomeCounts,
  outcomeCountsSchema,
  type ServiceLevelSeries,
  spendingSchema,
} from "./messages.ts";
import {
  addCounts,
  badCount,
  emptyCounts,
  totalCount,
} from "./outcome_counts.ts";
import {
  HALF_HOUR_MILLISECONDS,
  MINUTE_MILLISECONDS,
} from "./service_level_recorder.ts";

/** Windows over which burn rates are calculated, in milliseconds. */
const WINDOW_MILLISECONDS = {
  fiveMinutes: 5 * MINUTE_MILLISECONDS,
  oneHour: 60 * MINUTE_MILLISECONDS,
  sixHours: 6 * 60 * MINUTE_MILLISECONDS,
  oneDay: 24 * 60 * MINUTE_MILLISECONDS,
};

/** Burn rate over both 5 minutes and an hour that raises a page. */
export const PAGE_BURN_RATE = 6;

/** Burn rate over both an hour and 6 hours that raises a ticket. */
export const TICKET_BURN_RATE = 2;

/** Latency percentiles, in milliseconds, and the number of samples. */
const latencySchema = z.object({
  count: z.number(),
  p50: z.number(),
  p95: z.number(),
  p99: z.number(),
});
export type Latency = z.infer<typeof latencySchema>;

const burnRatesSchema = z.object({
  fiveMinutes: z.number(),
  oneHour: z.number(),
  sixHours: z.number(),
  oneDay: z.number(),
});
export type BurnRates = z.infer<typeof burnRatesSchema>;

/** Service level that one caller group got from one service. */
export const burnEntrySchema = z.object({
  service: z.string(),
  callerGroup: z.string(),
  objective: objectiveSchema,
  /** Requests of the last day by outcome. */
  counts: outcomeCountsSchema,
  /** Share of the day's error budget that is spent; above 1 when exceeded. */
  budgetSpent: z.number(),
  /**
   * Share of bad requests divided by the share that the objective allows. At a
   * rate of 1, the budget lasts exactly for the window.
   */
  burnRates: burnRatesSchema,
  alert: z.enum(["none", "ticket", "page"]),
  spending: z.array(spendingSchema),
  firstToken: latencySchema,
  betweenTokens: latencySchema,
  minutes: z.array(outcomeBucketSchema),
  halfHours: z.array(outcomeBucketSchema),
});
export type BurnEntry = z.infer<typeof burnEntrySchema>;

/** Response body of `GET /burn`. */
export const burnReportSchema = z.object({
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  entries: z.array(burnEntrySchema),
  answered: z.array(z.string()),
  /** Instances whose requests are missing from the report. */
  unanswered: z.array(unansweredSchema),
});
export type BurnReport = z.infer<typeof burnReportSchema>;

/** Calculates the service level of a merged series. */
export function createBurnEntry(
  series: ServiceLevelSeries,
  objective: Objective,
  now: number,
): BurnEntry {
  const burnRates = burnRatesOf(series, objective, now);
  const counts = sumSince(series.halfHours, now - WINDOW_MILLISECONDS.oneDay);
  return {
    service: series.service,
    callerGroup: series.callerGroup,
    objective,
    counts,
    budgetSpent: burnRates.oneDay,
    burnRates,
    alert: alertOf(burnRates),
    spending: series.spending,
    firstToken: summarizeLatency(series.firstToken),
    betweenTokens: summarizeLatency(series.betweenTokens),
    minutes: series.minutes,
    halfHours: series.halfHours,
  };
}

/** Share of bad requests divided by the share that the objective allows. */
export function burnRate(counts: OutcomeCounts, objective: Objective): number {
  const total = totalCount(counts);
  if (total === 0) return 0;
  return badCount(counts) / total / (1 - objective.share);
}

/**
 * Returns the alert for the given burn rates.
 *
 * A rule requires a high rate in both of its windows: the long window shows
 * that the loss is significant, the short one that it is still going on.
 */
export function alertOf(rates: BurnRates): BurnEntry["alert"] {
  const { fiveMinutes, oneHour, sixHours } = rates;
  if (fiveMinutes >= PAGE_BURN_RATE && oneHour >= PAGE_BURN_RATE) {
    return "page";
  }
  if (oneHour >= TICKET_BURN_RATE && sixHours >= TICKET_BURN_RATE) {
    return "ticket";
  }
  return "none";
}

function burnRatesOf(
  series: ServiceLevelSeries,
  objective: Objective,
  now: number,
): BurnRates {
  const { minutes, halfHours } = series;
  const rate = (buckets: OutcomeBucket[], window: number) =>
    burnRate(sumSince(buckets, now - window), objective);
  return {
    fiveMinutes: rate(minutes, WINDOW_MILLISECONDS.fiveMinutes),
    oneHour: rate(minutes, WINDOW_MILLISECONDS.oneHour),
    sixHours: rate(halfHours, WINDOW_MILLISECONDS.sixHours),
    oneDay: rate(halfHours, WINDOW_MILLISECONDS.oneDay),
  };
}

/** Sums the buckets that start after a point in time. */
function sumSince(buckets: readonly OutcomeBucket[], since: number) {
  const sum = emptyCounts();
  for (const { at, counts } of buckets) {
    if (at > since) addCounts(sum, counts);
  }
  return sum;
}

function summarizeLatency(encoded: string): Latency {
  const histogram = LatencyHistogram.decode(encoded);
  return {
    count: histogram.count,
    p50: histogram.percentile(50),
    p95: histogram.percentile(95),
    p99: histogram.percentile(99),
  };
}

/** Length of the buckets of `minutes` and `halfHours`, in milliseconds. */
export const BUCKET_MILLISECONDS = {
  minutes: MINUTE_MILLISECONDS,
  halfHours: HALF_HOUR_MILLISECONDS,
};
