import { z } from "zod";

/**
 * Whether the request behind a failure may have run at a target.
 *
 * - `not-run`: it did not run and will not run later.
 * - `may-have-run`: it may have begun, or may still begin.
 */
export const verdictSchema = z.enum(["not-run", "may-have-run"]);
export type Verdict = z.infer<typeof verdictSchema>;

/** Reasons for a failure that callers of a function may act on. */
export const failureCodeSchema = z.enum([
  "bad-request",
  "unauthorized",
  "forbidden",
  "not-found",
  "conflict",
  "too-large",
  "limit-exceeded",
  "overloaded",
  "deadline-exceeded",
  "unavailable",
  "not-leader",
  "cancelled",
  "already-begun",
  "target-error",
  "storage-error",
  "internal",
]);
export type FailureCode = z.infer<typeof failureCodeSchema>;

/** Schema of an error as functions return it and processes exchange it. */
export const failureSchema = z.object({
  code: failureCodeSchema,
  message: z.string(),
  verdict: verdictSchema,
  /** Seconds after which a new attempt makes sense. */
  retryAfterSeconds: z.number().optional(),
  /** Identifier of the log leader, with code `not-leader`. */
  leader: z.string().optional(),
});
export type Failure = z.infer<typeof failureSchema>;

/** Builds a failure of a request that provably did not run. */
export function notRun(
  code: FailureCode,
  message: string,
  options: { retryAfterSeconds?: number; leader?: string } = {},
): Failure {
  return { code, message, verdict: "not-run", ...options };
}

/** Builds a failure of a request that may have run. */
export function mayHaveRun(
  code: FailureCode,
  message: string,
  options: { retryAfterSeconds?: number } = {},
): Failure {
  return { code, message, verdict: "may-have-run", ...options };
}
