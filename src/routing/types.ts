import type { Result } from "neverthrow";
import type { Failure, IDisposable } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";

/** Kind of work that a stream belongs to. */
export type WorkKind = "live" | "batch";

/** What an engine is chosen for. */
export interface ISelectionRequest {
  readonly service: string;
  readonly kind: WorkKind;
  /** Text whose beginning may be in an engine's prefix cache. */
  readonly prompt: string;
  /** Engines that already failed this request. */
  readonly exclude: ReadonlySet<string>;
}

/** An engine chosen for one stream; disposing of it ends its count. */
export interface IEngineReservation extends IDisposable {
  readonly engine: Engine;
  /** Reports that the stream yielded its first token. */
  reportFirstToken(): void;
  /** Reports that the engine failed the stream. */
  reportFailure(): void;
}

/** Chooses engines for streams. */
export interface IEngineSelector {
  /** Fails with `unavailable` when no engine may take the stream. */
  select(request: ISelectionRequest): Result<IEngineReservation, Failure>;
}
