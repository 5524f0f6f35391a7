import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** Request of an instance for a loan from the lent part of a limit. */
export const borrowingSchema = z.object({
  caller: z.string(),
  /** Number of instances between which the borrower divides the limit. */
  instances: z.number(),
  /** Number of requests that wait for a loan; 0 when only slots are needed. */
  requests: z.number(),
  /** Total number of slots that the borrower wants to hold. */
  slots: z.number(),
});
export type Borrowing = z.infer<typeof borrowingSchema>;

/** Loan from the owner of a caller's limits. */
export const loanSchema = z.object({
  /** Number of requests that may be admitted, in total. */
  requests: z.number(),
  /** Number of slots that may be held until the loan expires. */
  slots: z.number(),
});
export type Loan = z.infer<typeof loanSchema>;

/** Borrows from the owner of a caller's limits. */
export const borrowMethod = defineMethod("admission.borrow", {
  params: borrowingSchema,
  result: loanSchema,
});

/**
 * What an engine said last about its limit: engine, requests a second (null if
 * it no longer names a limit), and milliseconds since then.
 */
export const reportedEngineLimitSchema = z.tuple([
  z.string(),
  z.number().nullable(),
  z.number(),
]);
export type ReportedEngineLimit = z.infer<typeof reportedEngineLimitSchema>;

/** A caller and a number of its requests. */
export const callerCountSchema = z.tuple([z.string(), z.number()]);
export type CallerCount = z.infer<typeof callerCountSchema>;

/**
 * The last report of an earlier leader on a caller's limit:
 * caller, unused part of its burst from 0 to 1, and milliseconds since then.
 */
export const callerLevelSchema = z.tuple([z.string(), z.number(), z.number()]);
export type CallerLevel = z.infer<typeof callerLevelSchema>;

/**
 * Requests that an instance admitted without the leader, by caller; negative
 * where more requests that the leader admitted could not be served.
 */
export const callerUseReportSchema = z.object({
  /** Number of the report; a report that is sent again keeps it. */
  batch: z.number(),
  counts: z.array(callerCountSchema),
});
export type CallerUseReport = z.infer<typeof callerUseReportSchema>;
