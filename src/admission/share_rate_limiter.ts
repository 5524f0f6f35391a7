import type { Deadline, IClock } from "../common/mod.ts";
import type { EngineLimits } from "./engine_limits.ts";
import { minimumRate } from "./engine_rate.ts";
import type { IEngineRateLimiter } from "./types.ts";

/**
 * Share of an engine's limit that all instances together use while the leader
 * does not place their requests. The leader may have granted the whole limit
 * to other instances.
 */
const SHARE_WITHOUT_LEADER = 1 / 2;

/**
 * Time for which an instance may use its turn at an engine, in milliseconds.
 * Turns that could be saved would add up to a burst of one request from each
 * instance.
 */
const TURN_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Keeps this instance within its share of the limits of engines while it
 * places requests without the leader. Instances take turns at a random offset,
 * which needs no messages between them.
 */
export class ShareRateLimiter implements IEngineRateLimiter {
  #clock: IClock;
  #limits: Pick<EngineLimits, "limitOf">;
  #instances: () => number | undefined;
  /** Offset of this instance's turns, as a share of the interval. */
  #offset: number;
  #lastTaken = new Map<string, Deadline>();

  /**
   * @param options.instances number of instances that place requests;
   * undefined if it is not known, and then none are sent to such engines.
   * @param options.random source of random numbers from 0 up to, not
   * including, 1.
   */
  constructor(clock: IClock, options: {
    limits: Pick<EngineLimits, "limitOf">;
    instances: () => number | undefined;
    random: () => number;
  }) {
    this.#clock = clock;
    this.#limits = options.limits;
    this.#instances = options.instances;
    this.#offset = options.random();
  }

  isLimited(engine: string): boolean {
    return this.#limits.limitOf(engine) !== undefined;
  }

  waitMilliseconds(engine: string): number {
    const interval = this.#interval(engine);
    if (interval === undefined) return 0;
    if (interval === Number.POSITIVE_INFINITY) return interval;
    const now = this.#clock.monotonic();
    const sinceTurn = (now + this.#offset * interval) % interval;
    const turnStart = now - sinceTurn;
    const lastTaken = this.#lastTaken.get(engine);
    const isTaken = lastTaken !== undefined && lastTaken >= turnStart;
    if (sinceTurn < TURN_MILLISECONDS && !isTaken) return 0;
    return interval - sinceTurn;
  }

  isScarce(engine: string): boolean {
    return this.isLimited(engine);
  }

  take(engine: string): void {
    if (this.#interval(engine) === undefined) this.#lastTaken.delete(engine);
    else this.#lastTaken.set(engine, this.#clock.monotonic());
  }

  /** Interval between two turns in ms; undefined if there is no limit. */
  #interval(engine: string): number | undefined {
    const limit = this.#limits.limitOf(engine);
    if (limit === undefined) return undefined;
    const instances = this.#instances() ?? Number.POSITIVE_INFINITY;
    const rate = minimumRate(limit) * SHARE_WITHOUT_LEADER;
    return Math.max(1, instances) * MILLISECONDS_PER_SECOND / rate;
  }
}
