import type { ILatencyEstimates } from "../admission/mod.ts";
import type { Deadline, IClock } from "../common/mod.ts";
import type { IDispatchRequest } from "./types.ts";

/** Timeout for the first token, as a multiple of the estimated time. */
const FIRST_TOKEN_FACTOR = 6;

/** Bounds of the timeout for the first token of a live stream. */
const MINIMUM_FIRST_TOKEN_TIMEOUT_MILLISECONDS = 800;
const MAXIMUM_FIRST_TOKEN_TIMEOUT_MILLISECONDS = 5_000;

/** Timeout for the first token while there is no estimate. */
const DEFAULT_FIRST_TOKEN_TIMEOUT_MILLISECONDS = 2_000;

/** Share of the remaining time that an attempt's first token may take. */
const FIRST_TOKEN_SHARE = 1 / 3;

/** Maximum gap between tokens, as a multiple of the estimated token time. */
const SILENCE_FACTOR = 40;

/** Bounds of the maximum gap between tokens of a live stream. */
const MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 600;
const MAXIMUM_SILENCE_TIMEOUT_MILLISECONDS = 3_000;

/** Maximum gap between tokens while there is no estimate. */
const DEFAULT_SILENCE_TIMEOUT_MILLISECONDS = 1_500;

/** Timeout for the first token, and maximum gap, of batch streams. */
const BATCH_FIRST_TOKEN_TIMEOUT_MILLISECONDS = 15_000;
const BATCH_SILENCE_TIMEOUT_MILLISECONDS = 5_000;

/** Time limits after which an attempt fails over to another engine. */
export interface IAttemptLimits {
  readonly firstTokenDeadline: Deadline;
  readonly silenceMilliseconds: number;
  /** Whether the deadline of the request shortens the first-token deadline. */
  readonly isShortened: boolean;
}

/** Derives an attempt's time limits from latency estimates. */
export class AttemptTimeouts {
  #estimates: ILatencyEstimates;
  #clock: IClock;

  constructor(estimates: ILatencyEstimates, clock: IClock) {
    this.#estimates = estimates;
    this.#clock = clock;
  }

  /** Limits of an attempt; the last one is bounded only by the request. */
  limitsFor(
    request: IDispatchRequest,
    options: { isLast: boolean },
  ): IAttemptLimits {
    const remaining = this.#clock.remaining(request.deadline);
    if (options.isLast) {
      return {
        firstTokenDeadline: request.deadline,
        silenceMilliseconds: remaining,
        isShortened: true,
      };
    }
    const { firstToken, silence } = this.#durations(request);
    const longest = remaining * FIRST_TOKEN_SHARE;
    return {
      firstTokenDeadline: this.#clock.deadlineIn(
        Math.min(firstToken, longest),
      ),
      silenceMilliseconds: silence,
      isShortened: longest < firstToken,
    };
  }

  #durations(
    request: IDispatchRequest,
  ): { firstToken: number; silence: number } {
    if (request.kind === "batch") {
      return {
        firstToken: BATCH_FIRST_TOKEN_TIMEOUT_MILLISECONDS,
        silence: BATCH_SILENCE_TIMEOUT_MILLISECONDS,
      };
    }
    const usual = this.#estimates.estimateOf(request.service);
    if (!usual) {
      return {
        firstToken: DEFAULT_FIRST_TOKEN_TIMEOUT_MILLISECONDS,
        silence: DEFAULT_SILENCE_TIMEOUT_MILLISECONDS,
      };
    }
    return {
      firstToken: clamp(
        FIRST_TOKEN_FACTOR * usual.firstTokenMilliseconds,
        MINIMUM_FIRST_TOKEN_TIMEOUT_MILLISECONDS,
        MAXIMUM_FIRST_TOKEN_TIMEOUT_MILLISECONDS,
      ),
      silence: clamp(
        SILENCE_FACTOR * usual.tokenMilliseconds,
        MINIMUM_SILENCE_TIMEOUT_MILLISECONDS,
        MAXIMUM_SILENCE_TIMEOUT_MILLISECONDS,
      ),
    };
  }
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
