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

/** Streams at an engine, as known to this instance. */
export interface IEngineLoad {
  /** Live streams of this instance. */
  readonly ownLive: number;
  /** Live streams of the other instances, as last received. */
  readonly otherLive: number;
  /** Batch streams at the engine, as last received. */
  readonly batch: number;
  /** When the counts of others were received; undefined if unknown. */
  readonly receivedAt: Deadline | undefined;
  /** Latest load report of the engine itself; it contains its age. */
  readonly reported: LoadReport | undefined;
}

/** Load of the engines, for routing. */
export interface IEngineLoadView {
  loadOf(engineId: string): IEngineLoad;
}

/**
 * Limits the batch streams that this instance may run at each engine.
 *
 * One instance at a time owns an engine's batch streams, by a lease.
 */
export interface IBatchAllowance {
  /** Engines whose batch streams this instance owns. */
  readonly ownedEngines: readonly string[];
  /** Batch streams allowed at an engine; 0 when it is not owned. */
  limitOf(engineId: string): number;
  /**
   * Fires with the engine's id when its limit changes. If the limit decreases,
   * streams above it must be cancelled at once.
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
  /** Records the time between two tokens of one stream, in milliseconds. */
  recordGap(engineId: string, milliseconds: number): void;
  /**
   * Typical gap since a point in time, in milliseconds; undefined if too few
   * were recorded since then.
   */
  gapSince(engineId: string, since: Deadline): number | undefined;
}

/** State of an engine that a policy decides its limit by. */
export interface IBatchLimitContext {
  readonly engine: Engine;
  /** Live streams of all instances at the engine. */
  readonly live: number;
  /** Engines of the same service with the live streams at each. */
  readonly peers: readonly { readonly engine: Engine; readonly live: number }[];
  /** Typical time between tokens since a point in time, in milliseconds. */
  readonly gapSince: (since: Deadline) => number | undefined;
  /** Objective of the service for the time between tokens, in milliseconds. */
  readonly objectiveGap: number;
  readonly now: Deadline;
}

/** Decides how many batch streams may run at an engine. */
export interface IBatchLimitPolicy {
  limitOf(context: IBatchLimitContext): number;
}

/** Ownership of the engines' batch streams. */
export interface IEngineOwnership {
  /** Engines that this instance owns now. */
  readonly owned: ReadonlySet<string>;
  /** Other instances that own engines, and their engines. */
  readonly others: readonly IEngineOwner[];
  readonly onChange: IEvent<void>;
}

/** An instance that owns the batch streams of engines. */
export interface IEngineOwner {
  readonly address: PeerAddress;
  readonly engines: readonly string[];
}
