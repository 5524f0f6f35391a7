import { z } from "zod";
import type { ItemReference } from "./messages.ts";

export const itemLeasesSnapshotSchema = z.array(z.object({
  leaseId: z.string(),
  holder: z.string(),
  items: z.array(z.object({
    jobId: z.string(),
    index: z.number(),
    attempt: z.number(),
  })),
}));

/** A lease of one instance, with its items. */
export interface IItemLease {
  readonly holder: string;
  readonly items: Map<string, ItemReference>;
}

/** Leases with their items. */
export class ItemLeases {
  #leases = new Map<string, IItemLease>();
  #leaseOfItem = new Map<string, string>();

  get(leaseId: string): IItemLease | undefined {
    return this.#leases.get(leaseId);
  }

  ids(): IterableIterator<string> {
    return this.#leases.keys();
  }

  add(leaseId: string, holder: string, item: ItemReference): void {
    const lease = this.#leases.get(leaseId) ?? { holder, items: new Map() };
    this.#leases.set(leaseId, lease);
    const key = keyOf(item);
    lease.items.set(key, item);
    this.#leaseOfItem.set(key, leaseId);
  }

  /** Removes an item from its lease; a lease without items is kept. */
  release(item: { jobId: string; index: number }): void {
    const key = keyOf(item);
    const leaseId = this.#leaseOfItem.get(key);
    if (leaseId === undefined) return;
    this.#leaseOfItem.delete(key);
    this.#leases.get(leaseId)?.items.delete(key);
  }

  /** Ends a lease and returns its items. */
  end(leaseId: string): ItemReference[] {
    const items = [...this.#leases.get(leaseId)?.items.values() ?? []];
    items.forEach((item) => this.#leaseOfItem.delete(keyOf(item)));
    this.#leases.delete(leaseId);
    return items;
  }

  snapshot(): z.infer<typeof itemLeasesSnapshotSchema> {
    return [...this.#leases].map(([leaseId, { holder, items }]) => ({
      leaseId,
      holder,
      items: [...items.values()],
    }));
  }

  restore(snapshot: z.infer<typeof itemLeasesSnapshotSchema>): void {
    this.#leases.clear();
    this.#leaseOfItem.clear();
    for (const { leaseId, holder, items } of snapshot) {
      this.#leases.set(leaseId, { holder, items: new Map() });
      for (const item of items) this.add(leaseId, holder, item);
    }
  }
}

function keyOf(item: { jobId: string; index: number }): string {
  return `${item.jobId}/${item.index}`;
}
