import type { Deadline, IEvent } from "../common/mod.ts";
import type { LoadReport } from "../targets/mod.ts";

/** Live streams that this instance has at each engine. */
export interface ILiveActivity {
  /** Live streams of this instance at an engine. */
  liveStreams(engineId: string): number;
  /** Counts a live stream; disposing of the result ends the count. */
  begin(engineId: string): { dispose(): void };
  /** Fires with the engine's id when its count changes. */
  readonly onChange: IEvent<string>;
}

/** What this instance knows about the streams at an engine. */
export interface IEngineLoad {
  /** Live streams of this instance. */
  readonly ownLive: number;
  /** Live streams of the other instances, as last heard. */
  readonly otherLive: number;
  /** Batch streams at the engine, as last heard. */
  readonly batch: number;
  /** When the counts of others were heard; undefined if never. */
  readonly heardAt: Deadline | undefined;
  /** The engine's own report; it lags by its age. */
  readonly reported: LoadReport | undefined;
}

/** Load of the engines, for choosing one. */
export interface IEngineLoadView {
  loadOf(engineId: string): IEngineLoad;
}

/**
 * How many batch streams this instance may run at each engine.
 *
 * One instance at a time owns an engine's batch streams, by a lease.
 */
export interface IBatchAllowance {
  /** Engines whose batch streams this instance owns. */
  readonly ownedEngines: readonly string[];
  /** Batch streams allowed at an engine now; 0 when it is not owned. */
  limitOf(engineId: string): number;
  /**
   * Fires with the engine's id when its limit changes. Streams above a lower
   * limit are to be cancelled at once.
   */
  readonly onChange: IEvent<string>;
}
