import type { Deadline } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { IHeldItem } from "./item_attempt.ts";

/** Waiting items that are looked at for one that fits an engine. */
const MAXIMUM_SCANNED_ITEMS = 8;

/** Time for which an item avoids the engine that failed it, in milliseconds. */
const ENGINE_AVOIDANCE_MILLISECONDS = 1_000;

/** Items that this instance holds and that wait for a free stream. */
export class ItemQueue {
  #waiting = new Map<string, IHeldItem[]>();

  get all(): IHeldItem[] {
    return [...this.#waiting.values()].flat();
  }

  count(service: string): number {
    return this.#waiting.get(service)?.length ?? 0;
  }

  /** Items with output go first: their prefix may still be cached. */
  add(held: IHeldItem): void {
    const { service } = held.item;
    const waiting = this.#waiting.get(service) ?? [];
    this.#waiting.set(service, waiting);
    if (held.tokens > 0) waiting.unshift(held);
    else waiting.push(held);
  }

  /** Takes an item, but none that the engine has just failed. */
  take(engine: Engine, now: Deadline): IHeldItem | undefined {
    const waiting = this.#waiting.get(engine.service) ?? [];
    const at = waiting.slice(0, MAXIMUM_SCANNED_ITEMS)
      .findIndex(({ avoidedEngineId, queuedAt }) =>
        avoidedEngineId !== engine.id ||
        now - queuedAt >= ENGINE_AVOIDANCE_MILLISECONDS
      );
    return at < 0 ? undefined : waiting.splice(at, 1)[0];
  }

  /** Removes and returns the items that the predicate holds for. */
  remove(predicate: (held: IHeldItem) => boolean): IHeldItem[] {
    const removed: IHeldItem[] = [];
    for (const [service, waiting] of this.#waiting) {
      removed.push(...waiting.filter(predicate));
      const kept = waiting.filter((held) => !predicate(held));
      this.#waiting.set(service, kept);
    }
    return removed;
  }
}
