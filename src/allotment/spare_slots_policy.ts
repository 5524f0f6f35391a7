import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/** Share of an engine's slots that stays free for the next live requests. */
const RESERVED_SHARE = 1 / 16;

/** Gives batch the slots that live streams leave, but for a reserve. */
export class SpareSlotsPolicy implements IBatchLimitPolicy {
  limitOf({ engine, live }: IBatchLimitContext): number {
    const reserved = Math.ceil(engine.maximumStreams * RESERVED_SHARE);
    return Math.max(0, engine.maximumStreams - live - reserved);
  }
}
