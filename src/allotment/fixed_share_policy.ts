import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/** Share of an engine's slots that batch may fill. */
const BATCH_SHARE = 0.5;

/** Allows batch a fixed share of the slots, regardless of live requests. */
export class FixedSharePolicy implements IBatchLimitPolicy {
  limitOf({ engine }: IBatchLimitContext): number {
    return Math.floor(engine.maximumStreams * BATCH_SHARE);
  }
}
