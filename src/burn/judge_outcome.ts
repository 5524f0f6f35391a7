import { match } from "ts-pattern";
import type { FailureCode } from "../common/mod.ts";
import type { Objective } from "../configuration/mod.ts";
import type { ServiceLevelOutcome } from "./types.ts";

/** What is known of a finished live request. */
export interface IFinishedRequest {
  /** Undefined when the whole answer was sent. */
  readonly failure: FailureCode | undefined;
  readonly firstTokenMilliseconds: number | undefined;
  readonly betweenTokensMilliseconds: number | undefined;
}

/**
 * Says how a request counts against an objective.
 *
 * Returns undefined for requests that say nothing about the service: those
 * that the caller cancelled, had no right to or got wrong.
 */
export function judgeOutcome(
  objective: Objective,
  request: IFinishedRequest,
): ServiceLevelOutcome | undefined {
  if (request.failure) return judgeFailure(request.failure);
  const { firstTokenMilliseconds, betweenTokensMilliseconds } = request;
  const late =
    (firstTokenMilliseconds ?? 0) > objective.firstTokenMilliseconds ||
    (betweenTokensMilliseconds ?? 0) > objective.betweenTokensMilliseconds;
  return late ? "late" : "good";
}

function judgeFailure(code: FailureCode): ServiceLevelOutcome | undefined {
  return match(code)
    .with("overloaded", "limit-exceeded", () => "refused" as const)
    .with("deadline-exceeded", () => "late" as const)
    .with(
      "bad-request",
      "unauthorized",
      "forbidden",
      "not-found",
      "too-large",
      "conflict",
      "already-begun",
      "cancelled",
      () => undefined,
    )
    .with(
      "unavailable",
      "not-leader",
      "target-error",
      "storage-error",
      "internal",
      () => "failed" as const,
    )
    .exhaustive();
}
