import type { ListedEngine } from "../placement/mod.ts";
import type { IBulkEngine } from "./bulk_schedule.ts";

/** An item and the engine that is to run it. */
export interface IAssignment<T> {
  readonly item: T;
  readonly engine: ListedEngine;
}

/** Decides which engines items may use. */
export interface IEligibility<T> {
  mayUse(item: T, engine: ListedEngine): boolean;
  /** Items of one group may use the same engines. */
  groupOf(item: T): unknown;
  /** Engines of one group may be used by the same items. */
  engineGroupOf(engine: ListedEngine): unknown;
}

/**
 * Assigns items to the planned starts, in the order of the items.
 *
 * A start whose engine no waiting item can use goes to another engine with a
 * free slot, so that an item that needs a certain software version does not
 * wait while engines of other versions have more free slots.
 */
export function assignItems<T>(
  plan: {
    readonly starts: readonly ListedEngine[];
    readonly engines: readonly IBulkEngine[];
  },
  items: readonly T[],
  eligibility: IEligibility<T>,
): IAssignment<T>[] {
  const waiting = [...items];
  const assignments: IAssignment<T>[] = [];
  // Items only become fewer, so a group of engines that no item can use is done.
  const withoutItem = new Set<unknown>();
  for (const engine of plan.starts) {
    const engineGroup = eligibility.engineGroupOf(engine);
    if (withoutItem.has(engineGroup)) continue;
    const position = waiting.findIndex((item) =>
      eligibility.mayUse(item, engine)
    );
    const [item] = position === -1 ? [] : waiting.splice(position, 1);
    if (item !== undefined) assignments.push({ item, engine });
    else withoutItem.add(engineGroup);
  }
  let unused = plan.starts.length - assignments.length;
  if (unused === 0) return assignments;
  const free = new Map(
    plan.engines
      .filter(({ engine, isSuspect }) => !engine.isLeaving && !isSuspect)
      .map(({ engine, live, bulk, startable }) => [
        engine,
        Math.min(engine.slots - live - bulk, startable),
      ]),
  );
  for (const { engine } of assignments) {
    free.set(engine, (free.get(engine) ?? 0) - 1);
  }
  // Slots only become fewer here, so a group that finds none is done.
  const withoutEngine = new Set<unknown>();
  for (const item of waiting) {
    if (unused === 0) break;
    const group = eligibility.groupOf(item);
    if (withoutEngine.has(group)) continue;
    const engine = freest(
      free,
      (candidate) => eligibility.mayUse(item, candidate),
    );
    if (!engine) {
      withoutEngine.add(group);
      continue;
    }
    assignments.push({ item, engine });
    free.set(engine, (free.get(engine) ?? 0) - 1);
    unused -= 1;
  }
  return assignments;
}

function freest(
  free: ReadonlyMap<ListedEngine, number>,
  isUsable: (engine: ListedEngine) => boolean,
): ListedEngine | undefined {
  let best: ListedEngine | undefined;
  for (const [engine, slots] of free) {
    const isBetter = slots > (best ? free.get(best) ?? 0 : 0);
    if (isBetter && isUsable(engine)) best = engine;
  }
  return best;
}
