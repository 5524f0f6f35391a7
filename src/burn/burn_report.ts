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

/** Windows that burn rates are told for, in milliseconds. */
const WINDOW_MILLISECONDS = {
  fiveMinutes: 5 * MINUTE_MILLISECONDS,
  oneHour: 60 * MINUTE_MILLISECONDS,
  sixHours: 6 * 60 * MINUTE_MILLISECONDS,
  oneDay: 24 * 60 * MINUTE_MILLISECONDS,
};

/** Burn rate over 5 minutes and an hour that pages somebody. */
export const PAGE_BURN_RATE = 6;

/** Burn rate over an hour and 6 hours that opens a ticket. */
export const TICKET_BURN_RATE = 2;

/** Percentages of requests that latencies are told for. */
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

/** Service level of one caller group at one service. */
export const burnEntrySchema = z.object({
  service: z.string(),
  callerGroup: z.string(),
  objective: objectiveSchema,
  /** Over the last day. */
  counts: outcomeCountsSchema,
  /** Share of the day's error budget that is spent; over 1 when exceeded. */
  budgetSpent: z.number(),
  /**
   * Share of bad requests by the share that the objective allows; at 1 the
   * budget lasts exactly the whole window.
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

/** Answer of `GET /burn`. */
export const burnReportSchema = z.object({
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  entries: z.array(burnEntrySchema),
  answered: z.array(z.string()),
  /** Instances whose requests the report lacks. */
  unanswered: z.array(unansweredSchema),
});
export type BurnReport = z.infer<typeof burnReportSchema>;

/** Works out the service level of a merged series. */
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

/** Share of bad requests by the share that the objective allows. */
export function burnRate(counts: OutcomeCounts, objective: Objective): number {
  const total = totalCount(counts);
  if (total === 0) return 0;
  return badCount(counts) / total / (1 - objective.share);
}

/**
 * Both windows of a rule must burn fast: the long one shows that it matters,
 * the short one that it still goes on.
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

/** Adds up the buckets that begin after a point. */
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

/** Length of the spans of `minutes` and `halfHours`, in milliseconds. */
export const BUCKET_MILLISECONDS = {
  minutes: MINUTE_MILLISECONDS,
  halfHours: HALF_HOUR_MILLISECONDS,
};
