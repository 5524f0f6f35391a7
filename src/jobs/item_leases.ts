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

/** A lease of one instance with the items that it holds. */
export interface IItemLease {
  readonly holder: string;
  readonly items: Map<string, ItemReference>;
}

/** Which lease holds which item. */
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

  /** Ends the hold on an item; a lease that holds nothing stays. */
  release(item: { jobId: string; index: number }): void {
    const key = keyOf(item);
    const leaseId = this.#leaseOfItem.get(key);
    if (leaseId === undefined) return;
    this.#leaseOfItem.delete(key);
    this.#leases.get(leaseId)?.items.delete(key);
  }

  /** Ends a lease and returns the items that it held. */
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
