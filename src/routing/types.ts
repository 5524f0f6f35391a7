import type { Result } from "neverthrow";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { LoadReport } from "../targets/mod.ts";

/** Kind of work that a stream belongs to. */
export type WorkKind = "live" | "batch";

/** Stream that an engine is selected for. */
export interface ISelectionRequest {
  readonly service: string;
  readonly kind: WorkKind;
  /** Prompt, whose prefix an engine may have cached. */
  readonly prompt: string;
  /** Engines that have already failed this request. */
  readonly exclude: ReadonlySet<string>;
  /** Whether the request may be sent to an ejected engine as a probe. */
  readonly mayProbe?: boolean;
}

/** An engine selected for one stream. It is counted until disposed of. */
export interface IEngineReservation extends IDisposable {
  readonly engine: Engine;
  /** Reports that the stream yielded its first token. */
  reportFirstToken(): void;
  /** Reports that the engine failed the stream. */
  reportFailure(): void;
}

/** Selects engines for streams. */
export interface IEngineSelector {
  /** Fails with `unavailable` when no engine may be used. */
  select(request: ISelectionRequest): Result<IEngineReservation, Failure>;
}

/** Source of pseudo-random numbers. */
export interface IRandom {
  /** Returns an integer from 0 up to, not including, the bound. */
  below(bound: number): number;
}

/** Health of targets, by the outcomes of this instance's own requests. */
export interface ITargetHealth {
  /** `probe`: ejected, but one request may be sent to probe it. */
  stateOf(targetId: string): "healthy" | "probe" | "ejected";
  /**
   * Marks the request that is now sent to an ejected target as its only probe,
   * until the result is disposed of.
   */
  beginProbe(targetId: string): IDisposable;
  reportSuccess(targetId: string): void;
  reportFailure(targetId: string): void;
}

/** A load report and when it arrived. */
export interface IReceivedLoadReport {
  readonly report: LoadReport;
  readonly receivedAt: Deadline;
}

/** Latest load reports of the engines of services in use. */
export interface ILoadReports {
  reportOf(engineId: string): IReceivedLoadReport | undefined;
  /** Marks a service as in use, so that its engines are polled. */
  markInUse(service: string): void;
}
