import type { ITokenGaps } from "../allotment/mod.ts";
import { type Failure, type IClock, notRun } from "../common/mod.ts";
import type { Engine, IConfigurationSource } from "../configuration/mod.ts";
import {
  type Generation,
  GenerationError,
  type IEngineAdapter,
} from "../targets/mod.ts";
import { type InputLine, parseInputLine } from "./input_line.ts";
import type { LeasedItem } from "./messages.ts";
import { outputLine } from "./result_line.ts";

/** Timeout of one attempt, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 600_000;

/** Timeout for the first token, in milliseconds. */
const FIRST_TOKEN_TIMEOUT_MILLISECONDS = 60_000;

/** Time without output after which a stream is aborted, in milliseconds. */
const SILENCE_TIMEOUT_MILLISECONDS = 10_000;

/** An item leased by this instance, with its output so far. */
export interface IHeldItem {
  readonly item: LeasedItem;
  text: string;
  tokens: number;
  /** Number of attempts by this instance whose outcome is unknown. */
  failures: number;
  /** Result line of the latest such attempt. */
  failureLine: string;
  /** Id of the engine that failed the item last. */
  avoidedEngineId: string | undefined;
  /** When the item was queued, on the monotonic clock. */
  queuedAt: number;
}

/** How an attempt ended; `line` is the result line. */
export type AttemptResult =
  | { readonly kind: "done"; readonly line: string }
  | { readonly kind: "failed"; readonly failure: Failure };

/** Options of `ItemAttempt`. */
export interface IItemAttemptOptions {
  readonly engines: IEngineAdapter;
  readonly configuration: IConfigurationSource;
  readonly clock: IClock;
  readonly tokenGaps: ITokenGaps;
}

/** Runs one attempt at an item, resuming from its output so far. */
export class ItemAttempt {
  #held: IHeldItem;
  #options: IItemAttemptOptions;

  constructor(held: IHeldItem, options: IItemAttemptOptions) {
    this.#held = held;
    this.#options = options;
  }

  /** Runs the attempt; output is added to the held item as it arrives. */
  async run(engine: Engine, signal: AbortSignal): Promise<AttemptResult> {
    const input = parseInputLine(this.#held.item.input);
    if (input.isErr()) {
      return { kind: "failed", failure: notRun("bad-request", input.error) };
    }
    try {
      const finishReason = await this.#generate(engine, input.value, signal);
      const { text, tokens, item } = this.#held;
      const line = outputLine(item, { text, tokens, finishReason });
      return { kind: "done", line };
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      return { kind: "failed", failure: error.failure };
    }
  }

  async #generate(
    engine: Engine,
    input: InputLine,
    signal: AbortSignal,
  ): Promise<string> {
    const { clock, engines, tokenGaps: gaps } = this.#options;
    const held = this.#held;
    const { text, tokens } = held;
    const chunks = engines.generate(engine, this.#generation(input), {
      deadline: clock.deadlineIn(ATTEMPT_TIMEOUT_MILLISECONDS),
      firstTokenDeadline: clock.deadlineIn(FIRST_TOKEN_TIMEOUT_MILLISECONDS),
      silenceMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
      freshConnection: !held.item.idempotent,
      resume: tokens > 0 ? { text, tokens } : undefined,
      signal,
    });
    let finishReason = "stop";
    let latestAt: number | undefined;
    for await (const chunk of chunks) {
      if (chunk.kind === "end") {
        finishReason = chunk.finishReason;
        continue;
      }
      held.text += chunk.text;
      held.tokens += chunk.tokens;
      const now = clock.monotonic();
      if (latestAt !== undefined) gaps.recordGap(engine.id, now - latestAt);
      latestAt = now;
    }
    return finishReason;
  }

  #generation(input: InputLine): Generation {
    const { caller, service, endpoint } = this.#held.item;
    const grants = this.#options.configuration.current?.grantsOf(caller) ?? [];
    const grant = grants.find((grant) => grant.service.name === service);
    const model = grant?.service.model ?? String(input.body.model);
    return { model, endpoint, body: { ...input.body, model } };
  }
}
