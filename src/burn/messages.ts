import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** Finished live requests by outcome. */
export const outcomeCountsSchema = z.object({
  good: z.number(),
  late: z.number(),
  refused: z.number(),
  failed: z.number(),
});
export type OutcomeCounts = z.infer<typeof outcomeCountsSchema>;

/** Finished live requests of one time bucket. */
export const outcomeBucketSchema = z.object({
  /** Start of the bucket, in milliseconds since the Unix epoch. */
  at: z.number(),
  counts: outcomeCountsSchema,
});
export type OutcomeBucket = z.infer<typeof outcomeBucketSchema>;

/** Requests that spent error budget, by outcome, target and failure domain. */
export const spendingSchema = z.object({
  outcome: z.enum(["late", "refused", "failed"]),
  /** Target of the last attempt; absent when none was chosen. */
  target: z.string().optional(),
  failureDomain: z.string().optional(),
  count: z.number(),
});
export type Spending = z.infer<typeof spendingSchema>;

/** Requests of one caller group to one service. */
export const serviceLevelSeriesSchema = z.object({
  service: z.string(),
  callerGroup: z.string(),
  /** One bucket for each minute of the last hour with requests. */
  minutes: z.array(outcomeBucketSchema),
  /** One bucket for each half hour of the last day with requests. */
  halfHours: z.array(outcomeBucketSchema),
  /** Spendings of the last 18 to 24 hours, largest count first. */
  spending: z.array(spendingSchema),
  /** Encoded histogram of times to the first token, last 6 to 12 hours. */
  firstToken: z.string(),
  /**
   * Encoded histogram of the longest gaps between tokens, last 6 to 12 hours.
   */
  betweenTokens: z.string(),
});
export type ServiceLevelSeries = z.infer<typeof serviceLevelSeriesSchema>;

/** Reads the series that an instance has recorded. */
export const readServiceLevelsMethod = defineMethod("burn.read", {
  params: z.object({}),
  result: z.object({ series: z.array(serviceLevelSeriesSchema) }),
});
