import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/** Share of an engine's slots that is kept free for new live requests. */
const RESERVED_SHARE = 1 / 16;

/** Allows batch the slots that live streams leave free, less a reserve. */
export class SpareSlotsPolicy implements IBatchLimitPolicy {
  limitOf({ engine, live }: IBatchLimitContext): number {
    const reserved = Math.ceil(engine.maximumStreams * RESERVED_SHARE);
    return Math.max(0, engine.maximumStreams - live - reserved);
  }
}
