import type { Engine } from "../configuration/mod.ts";
import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/** Share of an engine's slots that live streams are expected to fill. */
const LIVE_TARGET_SHARE = 0.6;

/** Share of a live engine's slots that live and batch streams may fill. */
const LIVE_ENGINE_LIMIT_SHARE = 0.75;

/**
 * Restricts batch on as many engines as the live streams need.
 *
 * Routing prefers the engine with the fewest streams, so live requests
 * concentrate on these engines, and batch streams fill the others.
 */
export class ConcentratingPolicy implements IBatchLimitPolicy {
  #inner: IBatchLimitPolicy;

  constructor(inner: IBatchLimitPolicy) {
    this.#inner = inner;
  }

  limitOf(context: IBatchLimitContext): number {
    const limit = this.#inner.limitOf(context);
    const { engine, live } = context;
    if (!isLiveEngine(context)) return limit;
    const share = Math.floor(engine.maximumStreams * LIVE_ENGINE_LIMIT_SHARE);
    return Math.max(0, Math.min(limit, share - live));
  }
}

function isLiveEngine({ engine, peers }: IBatchLimitContext): boolean {
  const live = peers.reduce((sum, peer) => sum + peer.live, 0);
  const ordered = spreadOverDomains(peers.map((peer) => peer.engine));
  let slots = 0;
  for (const candidate of ordered) {
    if (slots >= live) return false;
    if (candidate.id === engine.id) return true;
    slots += candidate.maximumStreams * LIVE_TARGET_SHARE;
  }
  return false;
}

/** Orders engines round-robin over the failure domains. */
function spreadOverDomains(engines: readonly Engine[]): Engine[] {
  const ranks = new Map<string, number>();
  return engines
    .map((engine) => {
      const rank = ranks.get(engine.failureDomain) ?? 0;
      ranks.set(engine.failureDomain, rank + 1);
      return { engine, rank };
    })
    .sort((first, second) => first.rank - second.rank)
    .map(({ engine }) => engine);
}
