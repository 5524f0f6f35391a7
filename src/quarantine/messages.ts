import { z } from "zod";

/** A request whose run was broken off by its engine. */
export const brokenRunSchema = z.object({
  engine: z.string(),
  request: z.string(),
  /** Shared prompt parts in order, then identifiers of the content. */
  parts: z.array(z.string()),
  /** Time since the run broke off, in milliseconds. */
  ageMilliseconds: z.number(),
});
export type ReportedBrokenRun = z.infer<typeof brokenRunSchema>;

/** Quarantined prompt part, and milliseconds until it is released. */
export const quarantinedPartSchema = z.tuple([z.string(), z.number()]);
export type QuarantinedPart = z.infer<typeof quarantinedPartSchema>;

/** What an instance reports to the leader about prompt parts. */
export const partReportSchema = z.object({
  /** Broken runs that this leader has not received yet. */
  brokenRuns: z.array(brokenRunSchema),
  /** Number of requests that were answered completely in the last minute. */
  completedRequests: z.number(),
  /**
   * Suspect or quarantined parts that were answered in the last minute, and
   * milliseconds since then.
   */
  clearedParts: z.array(z.tuple([z.string(), z.number()])),
  /** Parts in quarantine; sent until a new leader has received them. */
  quarantined: z.array(quarantinedPartSchema).optional(),
});
export type PartReport = z.infer<typeof partReportSchema>;

/** What the leader answers about prompt parts. */
export const partVerdictsSchema = z.object({
  /** Parts for which instances are asked whether they were answered. */
  suspects: z.array(z.string()),
  quarantined: z.array(quarantinedPartSchema),
});
export type PartVerdicts = z.infer<typeof partVerdictsSchema>;
