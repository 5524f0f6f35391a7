import type { Deadline } from "../common/mod.ts";
import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/** Share of the promised time between tokens that batch may bring about. */
const GAP_SHARE = 0.85;

/** Factor by which the limit falls when tokens come too late. */
const DECREASE_FACTOR = 0.75;

/** Share of an engine's slots by which the limit rises again. */
const INCREASE_SHARE = 1 / 8;

/** How often the limit of an engine is adapted, in milliseconds. */
const ADAPTATION_INTERVAL_MILLISECONDS = 250;

interface ILearnedLimit {
  limit: number;
  adaptedAt: Deadline;
}

/**
 * Lowers another policy's limit while tokens come too late.
 *
 * Additive increase, multiplicative decrease on the time between the tokens
 * of batch streams, which live streams of the same engine share.
 */
export class LearnedLimitPolicy implements IBatchLimitPolicy {
  #inner: IBatchLimitPolicy;
  #learned = new Map<string, ILearnedLimit>();

  constructor(inner: IBatchLimitPolicy) {
    this.#inner = inner;
  }

  limitOf(context: IBatchLimitContext): number {
    const { engine } = context;
    const learned = this.#learned.get(engine.id) ??
      { limit: engine.maximumStreams, adaptedAt: context.now };
    this.#learned.set(engine.id, learned);
    this.#adapt(learned, context);
    return Math.min(learned.limit, this.#inner.limitOf(context));
  }

  /** Judges only by gaps since the last change, which are its effect. */
  #adapt(learned: ILearnedLimit, context: IBatchLimitContext): void {
    const { engine, now, objectiveGap } = context;
    const age = now - learned.adaptedAt;
    if (age < ADAPTATION_INTERVAL_MILLISECONDS) return;
    const gap = context.gapSince(learned.adaptedAt);
    if (gap === undefined) return;
    learned.adaptedAt = now;
    const increase = Math.ceil(engine.maximumStreams * INCREASE_SHARE);
    learned.limit = gap > objectiveGap * GAP_SHARE
      ? Math.max(1, Math.floor(learned.limit * DECREASE_FACTOR))
      : Math.min(engine.maximumStreams, learned.limit + increase);
  }
}
