import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import type { Failure, FailureCode } from "../common/mod.ts";

/** Response header that says whether a failed request may have run. */
export const VERDICT_HEADER = "figroad-verdict";

/** Returns the HTTP status for a failure code. */
export function httpStatus(code: FailureCode): number {
  return match(code)
    .with("bad-request", () => 400)
    .with("unauthorized", () => 401)
    .with("forbidden", () => 403)
    .with("not-found", () => 404)
    .with("conflict", "already-begun", () => 409)
    .with("too-large", () => 413)
    .with("limit-exceeded", () => 429)
    .with("overloaded", "unavailable", "not-leader", () => 503)
    .with("deadline-exceeded", () => 504)
    .with("cancelled", () => 499)
    .with("target-error", () => 502)
    .with("storage-error", "internal", () => 500)
    .exhaustive();
}

/** Error object in the format of the OpenAI API. */
export function errorBody(failure: Failure): object {
  return {
    error: {
      message: failure.message,
      type: httpStatus(failure.code) < 500
        ? "invalid_request_error"
        : "api_error",
      code: failure.code,
      param: null,
      verdict: failure.verdict,
    },
  };
}

/** Sends a JSON body, unless the response has begun or is closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Sends a failure, unless the response has begun or is closed. */
export function sendFailure(response: ServerResponse, failure: Failure): void {
  if (response.headersSent || response.destroyed) return;
  response.setHeader(VERDICT_HEADER, failure.verdict);
  if (failure.retryAfterSeconds !== undefined) {
    const seconds = Math.max(1, Math.ceil(failure.retryAfterSeconds));
    response.setHeader("retry-after", String(seconds));
  }
  // Clients must not automatically retry a request that may have run.
  if (failure.verdict === "may-have-run") {
    response.setHeader("x-should-retry", "false");
  }
  sendJson(response, httpStatus(failure.code), errorBody(failure));
}
