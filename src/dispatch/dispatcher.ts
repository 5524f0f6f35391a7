import { type Failure, type IClock, notRun } from "../common/mod.ts";
import type { IEngineReservation, IEngineSelector } from "../routing/mod.ts";
import {
  type GenerationChunk,
  GenerationError,
  type IEngineAdapter,
} from "../targets/mod.ts";
import { promptText } from "./prompt_text.ts";
import type { IDispatcher, IDispatchRequest } from "./types.ts";

/** Engines that one generation is tried at. */
const MAXIMUM_ATTEMPTS = 4;

/** Silence after which a stream is given up, in milliseconds. */
const SILENCE_MILLISECONDS = 5_000;

/** Output of a generation so far, over all attempts. */
interface IProgress {
  text: string;
  tokens: number;
  ended: boolean;
}

/** Runs a generation at one engine after another until it is whole. */
export class Dispatcher implements IDispatcher {
  #selector: IEngineSelector;
  #engines: IEngineAdapter;
  #clock: IClock;

  constructor(
    selector: IEngineSelector,
    engines: IEngineAdapter,
    options: { clock: IClock },
  ) {
    this.#selector = selector;
    this.#engines = engines;
    this.#clock = options.clock;
  }

  async *run(request: IDispatchRequest): AsyncGenerator<GenerationChunk, void> {
    const progress: IProgress = {
      text: request.resume?.text ?? "",
      tokens: request.resume?.tokens ?? 0,
      ended: false,
    };
    const exclude = new Set<string>();
    let failure: Failure | undefined;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const selected = this.#selector.select({
        service: request.service,
        kind: request.kind,
        prompt: promptText(request.generation),
        exclude,
      });
      if (selected.isErr()) {
        throw new GenerationError(failure ?? selected.error);
      }
      const reservation = selected.value;
      try {
        yield* this.#attempt(request, reservation, progress);
        return;
      } catch (error) {
        failure = mergeFailures(failure, failureOf(error));
        if (!this.#mayTryAgain(request, failure)) break;
        reservation.reportFailure();
        exclude.add(reservation.engine.id);
      } finally {
        reservation.dispose();
      }
    }
    throw new GenerationError(failure ?? notRun("internal", "no attempt"));
  }

  async *#attempt(
    request: IDispatchRequest,
    reservation: IEngineReservation,
    progress: IProgress,
  ): AsyncGenerator<GenerationChunk, void> {
    const { text, tokens } = progress;
    const chunks = this.#engines.generate(
      reservation.engine,
      request.generation,
      {
        deadline: request.deadline,
        signal: request.signal,
        resume: tokens > 0 ? { text, tokens } : undefined,
        silenceMilliseconds: SILENCE_MILLISECONDS,
      },
    );
    for await (const chunk of chunks) {
      if (chunk.kind === "tokens") {
        if (progress.tokens === tokens) reservation.reportFirstToken();
        progress.text += chunk.text;
        progress.tokens += chunk.tokens;
      }
      yield chunk;
    }
  }

  #mayTryAgain(request: IDispatchRequest, failure: Failure): boolean {
    if (request.signal.aborted) return false;
    if (this.#clock.isPast(request.deadline)) return false;
    if (failure.code === "bad-request") return false;
    return request.idempotent || failure.verdict === "not-run";
  }
}

/** The verdict over several attempts: one that may have run is enough. */
function mergeFailures(earlier: Failure | undefined, last: Failure): Failure {
  if (earlier?.verdict !== "may-have-run") return last;
  return { ...last, verdict: "may-have-run" };
}

function failureOf(error: unknown): Failure {
  if (error instanceof GenerationError) return error.failure;
  throw error;
}
