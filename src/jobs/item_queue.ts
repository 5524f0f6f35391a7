import type { Deadline } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { IHeldItem } from "./item_attempt.ts";

/** Number of queued items checked for one that may run on an engine. */
const MAXIMUM_SCANNED_ITEMS = 8;

/** Time before an item may return to the engine that failed it. */
const ENGINE_AVOIDANCE_MILLISECONDS = 1_000;

/** Leased items that wait for a free stream, by service. */
export class ItemQueue {
  #queues = new Map<string, IHeldItem[]>();

  get all(): IHeldItem[] {
    return [...this.#queues.values()].flat();
  }

  count(service: string): number {
    return this.#queues.get(service)?.length ?? 0;
  }

  /**
   * Adds an item. Items with output go first, because their prefix may still
   * be in the cache of an engine.
   */
  add(held: IHeldItem): void {
    const { service } = held.item;
    const queue = this.#queues.get(service) ?? [];
    this.#queues.set(service, queue);
    if (held.tokens > 0) queue.unshift(held);
    else queue.push(held);
  }

  /** Takes the next item, except those that the engine has just failed. */
  take(engine: Engine, now: Deadline): IHeldItem | undefined {
    const queue = this.#queues.get(engine.service) ?? [];
    const at = queue.slice(0, MAXIMUM_SCANNED_ITEMS)
      .findIndex(({ avoidedEngineId, queuedAt }) =>
        avoidedEngineId !== engine.id ||
        now - queuedAt >= ENGINE_AVOIDANCE_MILLISECONDS
      );
    return at < 0 ? undefined : queue.splice(at, 1)[0];
  }

  /** Removes and returns the items that match the predicate. */
  remove(predicate: (held: IHeldItem) => boolean): IHeldItem[] {
    const removed: IHeldItem[] = [];
    for (const [service, queue] of this.#queues) {
      removed.push(...queue.filter(predicate));
      const kept = queue.filter((held) => !predicate(held));
      this.#queues.set(service, kept);
    }
    return removed;
  }
}
