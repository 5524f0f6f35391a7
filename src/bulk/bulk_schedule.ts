import type { ListedEngine } from "../placement/mod.ts";

/**
 * Share of all places that items leave free. It covers live requests that an
 * entry places by itself, which the leader hears of one exchange later.
 */
const RESERVED_SHARE = 0.03;

/** Time for which a reader still takes a result as in time, in ms. */
const LATE_TOLERANCE_MILLISECONDS = 500;

/** What decides which item runs first. */
export interface IRankedItem {
  /** Wall time by which the result is due. */
  readonly dueAt: number;
  /** Time that the item still needs at an engine, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/**
 * Orders items: those that can still be in time by their deadline, then the
 * others, the shortest first.
 *
 * When more is asked for than fits, the earliest deadline alone would make
 * every item a little late. Items that cannot be in time wait for those that
 * can.
 */
export function rankItems<T extends IRankedItem>(
  items: readonly T[],
  now: number,
): T[] {
  const isLate = ({ dueAt, remainingMilliseconds }: IRankedItem) =>
    now + remainingMilliseconds > dueAt + LATE_TOLERANCE_MILLISECONDS;
  const inTime = items.filter((item) => !isLate(item));
  const late = items.filter(isLate);
  return [
    ...inTime.sort((a, b) => a.dueAt - b.dueAt),
    ...late.sort((a, b) => a.remainingMilliseconds - b.remainingMilliseconds),
  ];
}

/** What is known of an engine when items are scheduled. */
export interface IBulkEngine {
  readonly engine: ListedEngine;
  readonly live: number;
  /** Items that run there. */
  readonly bulk: number;
  readonly isSuspect: boolean;
}

/** What to change: items to stop and places to fill. */
export interface IBulkPlan {
  /** Number of items to stop, by engine. */
  readonly preemptions: ReadonlyMap<string, number>;
  /** Engines that take an item each, in this order. */
  readonly starts: readonly ListedEngine[];
}

/** Number of items that must give way at an engine. */
export function missingSlots(
  { engine, live, bulk }: Omit<IBulkEngine, "isSuspect">,
): number {
  return Math.max(0, Math.min(bulk, live + bulk - engine.slots));
}

/**
 * Plans which engines run items.
 *
 * Live requests come in bursts of seconds with troughs between them. Items
 * fill the troughs up to a reserve, and give way as soon as an engine has more
 * requests than places, not before.
 */
export function planBulk(
  engines: readonly IBulkEngine[],
  waiting: number,
): IBulkPlan {
  const preemptions = new Map<string, number>();
  const candidates: { engine: ListedEngine; free: number }[] = [];
  let totalSlots = 0;
  let freeSlots = 0;
  for (const { engine, live, bulk, isSuspect } of engines) {
    const unused = engine.slots - live - bulk;
    const missing = missingSlots({ engine, live, bulk });
    if (missing > 0) preemptions.set(engine.id, missing);
    if (engine.isLeaving || isSuspect) continue;
    totalSlots += engine.slots;
    freeSlots += Math.max(0, unused);
    if (unused > 0) candidates.push({ engine, free: unused });
  }
  const reserve = Math.ceil(RESERVED_SHARE * totalSlots);
  const startLimit = Math.min(waiting, freeSlots - reserve);
  const starts: ListedEngine[] = [];
  while (starts.length < startLimit) {
    const leastLoaded = candidates.reduce<
      typeof candidates[number] | undefined
    >(
      (best, it) => best && best.free >= it.free ? best : it,
      undefined,
    );
    if (!leastLoaded || leastLoaded.free <= 0) break;
    starts.push(leastLoaded.engine);
    leastLoaded.free -= 1;
  }
  return { preemptions, starts };
}
