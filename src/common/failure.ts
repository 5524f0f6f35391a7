import { z } from "zod";

/**
 * Whether a failed request may have run at a target.
 *
 * - `not-run`: it did not run and will not run later.
 * - `may-have-run`: it may have started, or may still start.
 */
export const verdictSchema = z.enum(["not-run", "may-have-run"]);
export type Verdict = z.infer<typeof verdictSchema>;

/** Kinds of failure that the calling code may act on. */
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

/** An error that functions return and that processes exchange. */
export const failureSchema = z.object({
  code: failureCodeSchema,
  message: z.string(),
  verdict: verdictSchema,
  /** Seconds to wait before a retry. */
  retryAfterSeconds: z.number().optional(),
  /** Identifier of the leader of the replicated log, with `not-leader`. */
  leader: z.string().optional(),
});
export type Failure = z.infer<typeof failureSchema>;

/** Creates a failure of a request that is known not to have run. */
export function notRun(
  code: FailureCode,
  message: string,
  options: { retryAfterSeconds?: number; leader?: string } = {},
): Failure {
  return { code, message, verdict: "not-run", ...options };
}

/** Creates a failure of a request that may have run. */
export function mayHaveRun(
  code: FailureCode,
  message: string,
  options: { retryAfterSeconds?: number } = {},
): Failure {
  return { code, message, verdict: "may-have-run", ...options };
}
