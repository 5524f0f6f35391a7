import type { IClock } from "../common/mod.ts";
import type { EngineLimits } from "./engine_limits.ts";
import { minimumRate } from "./engine_rate.ts";
import { TokenBucket } from "./token_bucket.ts";
import type { IItemRateLimiter } from "./types.ts";

/** Share of an engine's limit that is meant for items. */
const ITEM_SHARE = 1 / 6;

/** Seconds for which a limit is saved up, as live requests come in bursts. */
const SAVED_SECONDS = 2;

/**
 * Maximum number of requests saved beyond one second. Requests that an instance
 * places itself as it loses the leader come on top of those saved.
 */
const MAXIMUM_SAVED_REQUESTS = 4;

/**
 * Minimum size of the bucket for items, in requests. Live requests use it only
 * while it is full, and items as soon as it holds one.
 */
const MINIMUM_ITEM_CAPACITY = 2;

const MILLISECONDS_PER_SECOND = 1_000;

interface IEngineBuckets {
  readonly live: TokenBucket;
  readonly items: TokenBucket;
}

/**
 * Keeps the whole fleet within the limits of engines, on the leader, which
 * places live requests, starts items and checks the health of engines.
 *
 * Live requests and items each have a share of a limit, and use what the other
 * leaves. The buckets of a new leader start empty, since its predecessor may
 * just have used up the limits.
 */
export class FleetRateLimiter implements IItemRateLimiter {
  #limits: Pick<EngineLimits, "limitOf">;
  #clock: IClock;
  #buckets = new Map<string, IEngineBuckets>();

  constructor(clock: IClock, limits: Pick<EngineLimits, "limitOf">) {
    this.#clock = clock;
    this.#limits = limits;
  }

  isLimited(engine: string): boolean {
    return this.#limits.limitOf(engine) !== undefined;
  }

  waitMilliseconds(engine: string): number {
    const buckets = this.#bucketsOf(engine);
    if (!buckets) return 0;
    const { live, items } = buckets;
    const seconds = Math.min(live.secondsToNext, items.secondsToFull);
    return seconds * MILLISECONDS_PER_SECOND;
  }

  take(engine: string): void {
    const buckets = this.#bucketsOf(engine);
    if (buckets?.live.take(1) === 0) buckets.items.take(1);
  }

  isScarce(engine: string): boolean {
    const buckets = this.#bucketsOf(engine);
    return buckets !== undefined && !buckets.live.isFull;
  }

  startableItems(engine: string): number {
    const buckets = this.#bucketsOf(engine);
    if (!buckets) return Number.POSITIVE_INFINITY;
    const { live, items } = buckets;
    return items.available + (live.isFull ? 1 : 0);
  }

  takeForItem(engine: string): void {
    const buckets = this.#bucketsOf(engine);
    if (buckets?.items.take(1) === 0) buckets.live.take(1);
  }

  /** Buckets of an engine; undefined if it names no limit. */
  #bucketsOf(engine: string): IEngineBuckets | undefined {
    const limit = this.#limits.limitOf(engine);
    if (limit === undefined) {
      this.#buckets.delete(engine);
      return undefined;
    }
    const buckets = this.#buckets.get(engine) ?? {
      live: new TokenBucket(this.#clock, { initialTokens: 0 }),
      items: new TokenBucket(this.#clock, { initialTokens: 0 }),
    };
    this.#buckets.set(engine, buckets);
    const rate = minimumRate(limit);
    const saved = Math.min(
      rate * SAVED_SECONDS,
      rate + MAXIMUM_SAVED_REQUESTS,
    );
    const liveShare = 1 - ITEM_SHARE;
    buckets.live.setRate(rate * liveShare, Math.max(1, saved * liveShare));
    buckets.items.setRate(
      rate * ITEM_SHARE,
      Math.max(MINIMUM_ITEM_CAPACITY, saved * ITEM_SHARE),
    );
    return buckets;
  }
}
