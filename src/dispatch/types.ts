import type { Deadline } from "../common/mod.ts";
import type { WorkKind } from "../routing/mod.ts";
import type {
  Generation,
  GenerationChunk,
  IResumePoint,
} from "../targets/mod.ts";

/** A generation that is run at one engine after another until it is whole. */
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
}

/** Runs generations with retries and resumption. */
export interface IDispatcher {
  /**
   * Yields output that never repeats across attempts. Returns normally only
   * after an `end` chunk; otherwise throws a `GenerationError` whose verdict
   * holds for all attempts together.
   */
  run(request: IDispatchRequest): AsyncGenerator<GenerationChunk, void>;
}
