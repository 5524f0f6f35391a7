import type { ListedEngine } from "../placement/mod.ts";

/**
 * Share of all slots that items leave free. It covers live requests that an
 * entry places by itself, which the leader learns of one exchange later.
 */
const RESERVED_SHARE = 0.03;

/** Delay up to which readers still count a result as in time, in ms. */
const LATE_TOLERANCE_MILLISECONDS = 500;

/** Properties that decide in which order items run. */
export interface IRankedItem {
  /** Wall time by which the result is due. */
  readonly dueAt: number;
  /** Time that the item still needs at an engine, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/**
 * Orders items: first those that can still be in time, by deadline, then the
 * others, by remaining time.
 *
 * Under overload, ordering by deadline alone would make every item a little
 * late. Items that cannot be in time therefore wait for those that can.
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

/** State of an engine for the scheduling of items. */
export interface IBulkEngine {
  readonly engine: ListedEngine;
  readonly live: number;
  /** Number of items that run at the engine. */
  readonly bulk: number;
  readonly isSuspect: boolean;
  /** Items that may start now within the limit that the engine names. */
  readonly startable: number;
}

/** Items to preempt and slots to fill. */
export interface IBulkPlan {
  /** Number of items to preempt, by engine. */
  readonly preemptions: ReadonlyMap<string, number>;
  /** Engine of each item to start, in order; an engine may occur repeatedly. */
  readonly starts: readonly ListedEngine[];
}

/** Number of items to preempt at an engine with more requests than slots. */
export function missingSlots(
  { engine, live, bulk }: Pick<IBulkEngine, "engine" | "live" | "bulk">,
): number {
  return Math.max(0, Math.min(bulk, live + bulk - engine.slots));
}

/** Tokens of an engine's memory that are in use. */
export interface IMemoryUse {
  /** Tokens that live requests may fill. */
  readonly liveTokens: number;
  /** Tokens that the memory holds; undefined if not known. */
  readonly memoryTokens: number | undefined;
}

/**
 * Number of items to preempt so that the others fit into the memory besides
 * the live requests.
 *
 * @param itemTokens tokens of the running items, in the order of preemption.
 */
export function itemsBeyondMemory(
  { liveTokens, memoryTokens }: IMemoryUse,
  itemTokens: readonly number[],
): number {
  if (memoryTokens === undefined) return 0;
  const used = itemTokens.reduce((sum, tokens) => sum + tokens, liveTokens);
  let excess = used - memoryTokens;
  let count = 0;
  while (excess > 0 && count < itemTokens.length) {
    excess -= itemTokens[count] ?? 0;
    count += 1;
  }
  return count;
}

/**
 * Number of items that may start within the memory, if each fills as much as
 * the largest one that waits.
 */
export function startableWithinMemory(
  { liveTokens, memoryTokens }: IMemoryUse,
  items: { runningTokens: number; largestTokens: number },
): number {
  if (memoryTokens === undefined || items.largestTokens === 0) {
    return Number.POSITIVE_INFINITY;
  }
  const free = memoryTokens - liveTokens - items.runningTokens;
  return Math.max(0, Math.floor(free / items.largestTokens));
}

interface ICandidate {
  readonly engine: ListedEngine;
  /** Items that may still start. */
  free: number;
  /** Whether the engine limits its requests. */
  readonly isLimited: boolean;
}

/**
 * Prefers engines that limit their requests: an item uses a slot for long with
 * a single request, and leaves the other engines to live requests.
 */
function isBetter(one: ICandidate, other: ICandidate): boolean {
  if (one.free <= 0 || other.free <= 0) return one.free > other.free;
  if (one.isLimited !== other.isLimited) return one.isLimited;
  return one.free > other.free;
}

/**
 * Plans where items start and where they are preempted.
 *
 * Live requests come in bursts of seconds with periods of low load between
 * them. Items fill the free slots up to a reserve, and are preempted as soon
 * as an engine has more requests than slots, not before.
 */
export function planBulk(
  engines: readonly IBulkEngine[],
  waiting: number,
): IBulkPlan {
  const preemptions = new Map<string, number>();
  const candidates: ICandidate[] = [];
  let totalSlots = 0;
  let freeSlots = 0;
  for (const { engine, live, bulk, isSuspect, startable } of engines) {
    const unused = engine.slots - live - bulk;
    const missing = missingSlots({ engine, live, bulk });
    if (missing > 0) preemptions.set(engine.id, missing);
    if (engine.isLeaving || isSuspect) continue;
    totalSlots += engine.slots;
    freeSlots += Math.max(0, unused);
    const free = Math.min(unused, startable);
    const isLimited = Number.isFinite(startable);
    if (free > 0) candidates.push({ engine, free, isLimited });
  }
  const reserve = Math.ceil(RESERVED_SHARE * totalSlots);
  const startLimit = Math.min(waiting, freeSlots - reserve);
  const starts: ListedEngine[] = [];
  while (starts.length < startLimit) {
    const leastLoaded = candidates.reduce<ICandidate | undefined>(
      (best, it) => best && !isBetter(it, best) ? best : it,
      undefined,
    );
    if (!leastLoaded || leastLoaded.free <= 0) break;
    starts.push(leastLoaded.engine);
    leastLoaded.free -= 1;
  }
  return { preemptions, starts };
}

/** Returns the most tokens of an item that fits into a number of tokens. */
export function largestWithin(
  waiting: readonly { readonly item: { readonly tokens: number } }[],
): (tokens: number) => number {
  const sizes = waiting.map(({ item }) => item.tokens);
  const known = new Map<number, number>();
  return (tokens) => {
    const largest = known.get(tokens) ?? sizes.reduce(
      (most, size) => size <= tokens ? Math.max(most, size) : most,
      0,
    );
    known.set(tokens, largest);
    return largest;
  };
}
