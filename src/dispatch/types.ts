import type { Result } from "neverthrow";
import type { ILatencyEstimates, IRetryBudget } from "../admission/mod.ts";
import type { Deadline, Failure, IClock } from "../common/mod.ts";
import type { Engine, PlainService } from "../configuration/mod.ts";
import type { ITraceRecorder } from "../explain/types.ts";
import type { IEngineSelector, IRandom, WorkKind } from "../routing/mod.ts";
import type {
  Generation,
  GenerationChunk,
  IEngineAdapter,
  IPlainRequest,
  IPlainResponse,
  IResumePoint,
} from "../targets/mod.ts";

/** A generation, run at one engine after another until it is complete. */
export interface IDispatchRequest {
  /** Identifier for `figroad explain`. */
  readonly id: string;
  readonly caller: string;
  readonly service: string;
  readonly kind: WorkKind;
  readonly generation: Generation;
  /** Whether it may be run again when an attempt's outcome is unknown. */
  readonly idempotent: boolean;
  readonly deadline: Deadline;
  readonly signal: AbortSignal;
  /** Output that the caller already has. */
  readonly resume?: IResumePoint;
  /** Called with the engine of each attempt before it begins. */
  readonly onAttempt?: (engine: Engine) => void;
}

/** Runs generations with retries and resumption. */
export interface IDispatcher {
  /**
   * Yields each part of the output once, even if several attempts produce it.
   * Returns normally only after an `end` chunk. Otherwise throws a
   * `GenerationError` whose `verdict` ("not-run" or "may-have-run") covers all
   * attempts.
   */
  run(request: IDispatchRequest): AsyncGenerator<GenerationChunk, void>;
}

/** Retry budgets of live and batch streams, kept apart. */
export interface IRetryBudgets {
  readonly live: IRetryBudget;
  readonly batch: IRetryBudget;
}

/** Dependencies of a `Dispatcher`. */
export interface IDispatcherOptions {
  readonly selector: IEngineSelector;
  readonly engines: IEngineAdapter;
  readonly clock: IClock;
  readonly budgets: IRetryBudgets;
  readonly estimates: ILatencyEstimates;
  readonly trace: ITraceRecorder;
  readonly random: IRandom;
}

/** A call of a plain service. */
export interface IPlainCall {
  /** Identifier for `figroad explain`. */
  readonly id: string;
  readonly service: PlainService;
  readonly deadline: Deadline;
  readonly signal: AbortSignal;
}

/** Calls plain services. */
export interface IPlainDispatcher {
  /** The body must be read to its end, or its iterator must be closed. */
  call(
    call: IPlainCall,
    request: IPlainRequest,
  ): Promise<Result<IPlainResponse, Failure>>;
}
