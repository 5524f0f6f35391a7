import { match } from "ts-pattern";
import type { RelayOutcome } from "./messages.ts";

/** Error of a request that was sent to an engine through another instance. */
export class RelayError extends Error {
  /** Whether the engine may have received the request. */
  readonly mayHaveRun: boolean;
  /** What is at fault: the other instance, the engine, or neither. */
  readonly fault: "relay" | "engine" | "none";

  constructor(
    message: string,
    options: Pick<RelayError, "mayHaveRun" | "fault">,
  ) {
    super(message);
    this.mayHaveRun = options.mayHaveRun;
    this.fault = options.fault;
  }
}

/**
 * Error for a request that another instance did not answer with an engine's
 * answer.
 *
 * @param outcome undefined if the response does not name any.
 */
export function relayOutcomeError(
  outcome: Exclude<RelayOutcome, "answered"> | undefined,
  reason: string,
): RelayError {
  const options = match(outcome)
    .with("declined", () => ({ mayHaveRun: false, fault: "relay" } as const))
    .with("unavailable", () => ({ mayHaveRun: false, fault: "none" } as const))
    .with("unreached", () => ({ mayHaveRun: false, fault: "engine" } as const))
    .with("lost", () => ({ mayHaveRun: true, fault: "engine" } as const))
    .with(undefined, () => ({ mayHaveRun: true, fault: "relay" } as const))
    .exhaustive();
  return new RelayError(reason, options);
}
