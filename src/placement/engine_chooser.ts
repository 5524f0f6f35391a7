import type { IEngineView } from "./types.ts";

/** Engines whose scores differ by less are treated as equally loaded. */
const LOAD_TOLERANCE = 0.5;

/** Engines whose costs differ by less are treated as equal, in ms. */
const COST_TOLERANCE_MILLISECONDS = 5;

/**
 * Free slots at each engine that requests of other failure domains leave to its
 * own callers, as a share of its slots.
 */
const RESERVED_SHARE = 1 / 8;

/** What a choice between engines depends on besides their load. */
export interface IChoice {
  /** Failure domain in which the request arrived. */
  readonly failureDomain: string;
  /** Random number from 0 up to, not including, 1. */
  readonly random: number;
}

/** Chooses an engine for a request among those that may take it. */
export interface IEngineChooser {
  choose(
    choice: IChoice,
    views: readonly IEngineView[],
  ): IEngineView | undefined;
}

/** Prices of alternatives to a free slot in the caller's failure domain. */
export interface IPlacementCosts {
  /** Price of leaving the failure domain, in milliseconds of delay. */
  readonly crossingMilliseconds: number;
  /** Price of preempting a batch item, in milliseconds of delay. */
  readonly preemptionMilliseconds: number;
}

/** Expected wait for a slot at an engine, in milliseconds. */
export function expectedWait(view: IEngineView): number {
  const { slots } = view.engine;
  // Batch items are preempted, so only live requests are ahead.
  const ahead = view.live - slots + 1;
  if (ahead <= 0) return 0;
  return ahead * view.meanMilliseconds / slots;
}

/**
 * Chooses the engine with the fewest requests, and one in the same failure
 * domain among equals.
 */
export class LeastLoadedChooser implements IEngineChooser {
  choose(
    choice: IChoice,
    views: readonly IEngineView[],
  ): IEngineView | undefined {
    const equal = withinTolerance(views, requestsAhead, LOAD_TOLERANCE);
    const sameDomain = equal.filter(({ engine }) =>
      engine.failureDomain === choice.failureDomain
    );
    return pick(sameDomain.length > 0 ? sameDomain : equal, choice.random);
  }
}

/**
 * Chooses the engine with the least cost in delay, and the least loaded one
 * among equals. A request leaves its failure domain only if waiting there costs
 * more than the way to another one.
 */
export class LeastCostChooser implements IEngineChooser {
  #costs: IPlacementCosts;

  constructor(costs: IPlacementCosts) {
    this.#costs = costs;
  }

  choose(
    choice: IChoice,
    views: readonly IEngineView[],
  ): IEngineView | undefined {
    const cheapest = withinTolerance(
      views,
      (view) => this.#cost(view, choice.failureDomain),
      COST_TOLERANCE_MILLISECONDS,
    );
    const leastLoaded = withinTolerance(
      cheapest,
      requestsAhead,
      LOAD_TOLERANCE,
    );
    return pick(leastLoaded, choice.random);
  }

  #cost(view: IEngineView, failureDomain: string): number {
    const { engine, live, bulk } = view;
    const { crossingMilliseconds, preemptionMilliseconds } = this.#costs;
    const unused = engine.slots - live - bulk;
    const isPreempting = live < engine.slots && unused <= 0;
    const cost = expectedWait(view) +
      (isPreempting ? preemptionMilliseconds : 0);
    if (engine.failureDomain === failureDomain) return cost;
    const isReserved = unused <= Math.ceil(engine.slots * RESERVED_SHARE);
    return cost + crossingMilliseconds * (isReserved ? 2 : 1);
  }
}

/** Requests ahead of a new one; full engines rank behind all others. */
function requestsAhead({ live, bulk, engine }: IEngineView): number {
  const total = live + bulk;
  if (total < engine.slots) return total;
  // Among full engines, those with fewer live requests come first, because
  // their batch items can be preempted.
  return engine.slots + live;
}

/** Views whose value is at most a tolerance above the least one. */
function withinTolerance(
  views: readonly IEngineView[],
  valueOf: (view: IEngineView) => number,
  tolerance: number,
): IEngineView[] {
  const values = views.map((view) => ({ view, value: valueOf(view) }));
  const least = Math.min(...values.map(({ value }) => value));
  return values
    .filter(({ value }) => value - least < tolerance)
    .map(({ view }) => view);
}

function pick(
  views: readonly IEngineView[],
  random: number,
): IEngineView | undefined {
  return views[Math.floor(random * views.length)];
}
