import { z } from "zod";

/** Path of the report to operators, on the metrics address of a store. */
export const CALLER_LIMITS_PATH = "/caller-limits";

/** Use of a caller's limit of requests since the leader began to lead. */
export const callerLimitUsageSchema = z.object({
  caller: z.string(),
  perSecond: z.number(),
  burst: z.number(),
  /** Requests that it may send at once. */
  available: z.number(),
  /** Live requests in progress over the fleet. */
  inProgress: z.number(),
  admitted: z.number(),
  refused: z.number(),
});
export type CallerLimitUsage = z.infer<typeof callerLimitUsageSchema>;

/** Use of all limits, as a store reports it; empty unless it leads. */
export const callerLimitReportSchema = z.object({
  instance: z.string(),
  isLeader: z.boolean(),
  callers: z.array(callerLimitUsageSchema),
});
