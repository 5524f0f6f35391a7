import type { Deadline, IEvent } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { PeerAddress } from "../rpc/mod.ts";
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
  readonly receivedAt: Deadline | undefined;
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

/** Batch streams of this instance by engine. */
export interface IBatchStreams {
  batchStreams(engineId: string): number;
  /** Counts a batch stream; disposing of the result ends the count. */
  begin(engineId: string): { dispose(): void };
}

/** Times between the tokens of this instance's batch streams. */
export interface ITokenGaps {
  /** Notes the time between two tokens of one stream, in milliseconds. */
  recordGap(engineId: string, milliseconds: number): void;
  /** Usual gap after a point in time; undefined before there are enough. */
  gapSince(engineId: string, since: Deadline): number | undefined;
}

/** What a policy knows of an engine when it sets the limit. */
export interface IBatchLimitContext {
  readonly engine: Engine;
  /** Live streams of all instances at the engine. */
  readonly live: number;
  /** Engines of the same service with the live streams at each. */
  readonly peers: readonly { readonly engine: Engine; readonly live: number }[];
  /** Usual time between tokens after a point in time, in milliseconds. */
  readonly gapSince: (since: Deadline) => number | undefined;
  /** Time between tokens that the service promises, in milliseconds. */
  readonly objectiveGap: number;
  readonly now: Deadline;
}

/** Decides how many batch streams an engine runs. */
export interface IBatchLimitPolicy {
  limitOf(context: IBatchLimitContext): number;
}

/** The owners of the engines' batch streams. */
export interface IEngineOwnership {
  /** Engines that this instance owns now. */
  readonly owned: ReadonlySet<string>;
  /** Instances that own engines, without this one, and their engines. */
  readonly others: readonly IEngineOwner[];
  readonly onChange: IEvent<void>;
}

/** An instance that owns the batch streams of engines. */
export interface IEngineOwner {
  readonly address: PeerAddress;
  readonly engines: readonly string[];
}
