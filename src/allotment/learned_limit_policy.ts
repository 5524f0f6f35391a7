import type { Deadline } from "../common/mod.ts";
import type { IBatchLimitContext, IBatchLimitPolicy } from "./types.ts";

/**
 * Share of the objective for the time between tokens above which the limit is
 * decreased.
 */
const GAP_SHARE = 0.85;

/**
 * Factor by which the limit is multiplied when the time between tokens exceeds
 * `GAP_SHARE` of its objective.
 */
const DECREASE_FACTOR = 0.75;

/** Additive increase, as a share of the engine's slots. */
const INCREASE_SHARE = 1 / 8;

/** Minimum interval between two changes of an engine's limit. */
const ADAPTATION_INTERVAL_MILLISECONDS = 250;

interface ILearnedLimit {
  limit: number;
  adaptedAt: Deadline;
}

/**
 * Lowers another policy's limit while the time between tokens is too long.
 *
 * The limit follows AIMD (additive increase, multiplicative decrease) on the
 * time between the tokens of batch streams. Live streams at the same engine
 * have the same time between tokens.
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

  /** Uses only gaps since the last change, since these show its effect. */
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
