import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/** Batch streams for each slot of an engine. */
const STREAMS_PER_SLOT = 2;

/** Lets batch streams queue at the engine; for comparison only. */
export class UnlimitedPolicy implements IBatchLimitPolicy {
  limitOf({ engine }: IBatchLimitContext): number {
    return engine.maximumStreams * STREAMS_PER_SLOT;
  }
}
