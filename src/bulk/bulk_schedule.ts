import type { ListedEngine } from "../placement/mod.ts";

/** Places of an engine that stay free for live requests, when it has many. */
const RESERVED_PLACES = 1;

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
  readonly yields: ReadonlyMap<string, number>;
  /** Engines that take an item each, in this order. */
  readonly starts: readonly ListedEngine[];
}

/**
 * Plans which engines run items.
 *
 * Live requests come in bursts of seconds with troughs between them. Items
 * fill the troughs up to a reserve, and give way as soon as an engine has no
 * place left, not before: a reserve that is used up is what it is for.
 */
export function planBulk(
  engines: readonly IBulkEngine[],
  waiting: number,
): IBulkPlan {
  const yields = new Map<string, number>();
  const room: { engine: ListedEngine; free: number }[] = [];
  for (const { engine, live, bulk, isSuspect } of engines) {
    const free = engine.slots - live - bulk;
    if (free < 0 && bulk > 0) {
      yields.set(engine.id, Math.min(bulk, -free));
    } else if (!engine.isLeaving && !isSuspect && free > RESERVED_PLACES) {
      room.push({ engine, free: free - RESERVED_PLACES });
    }
  }
  const starts: ListedEngine[] = [];
  while (starts.length < waiting) {
    const widest = room.reduce<typeof room[number] | undefined>(
      (best, it) => best && best.free >= it.free ? best : it,
      undefined,
    );
    if (!widest || widest.free <= 0) break;
    starts.push(widest.engine);
    widest.free -= 1;
  }
  return { yields, starts };
}
