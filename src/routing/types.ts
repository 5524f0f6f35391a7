import type { Result } from "neverthrow";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { LoadReport } from "../targets/mod.ts";

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
  /** Whether the request may try an engine that had been ejected. */
  readonly mayProbe?: boolean;
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

/** Source of pseudo-random numbers. */
export interface IRandom {
  /** A whole number from 0 up to, not including, the bound. */
  below(bound: number): number;
}

/** Health of targets as this instance experienced it. */
export interface ITargetHealth {
  /** `probe`: ejected, and due for one request that tries it. */
  stateOf(targetId: string): "healthy" | "probe" | "ejected";
  /** Marks the request now sent to an ejected target as its only probe. */
  beginProbe(targetId: string): IDisposable;
  reportSuccess(targetId: string): void;
  reportFailure(targetId: string): void;
}

/** A load report and when it arrived. */
export interface IReceivedLoadReport {
  readonly report: LoadReport;
  readonly receivedAt: Deadline;
}

/** Latest load reports of the engines that this instance uses. */
export interface ILoadReports {
  reportOf(engineId: string): IReceivedLoadReport | undefined;
  /** Notes that a service is in use, so that its engines are asked. */
  markInUse(service: string): void;
}
