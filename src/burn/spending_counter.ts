import type { Spending } from "./messages.ts";
import type { IServiceLevelSample } from "./types.ts";

/** Maximum spendings that are counted separately in one time bucket. */
export const MAXIMUM_SPENDINGS_PER_BUCKET = 32;

/** Target that collects the spendings above the maximum. */
export const OVERFLOW_TARGET = "(other targets)";

/** Key of a spending, made of all fields except its count. */
export function spendingKey(spending: Omit<Spending, "count">): string {
  const { outcome, target, failureDomain } = spending;
  return JSON.stringify([outcome, target ?? null, failureDomain ?? null]);
}

/** Sums spendings with the same key; returns the largest count first. */
export function mergeSpendings(spendings: Iterable<Spending>): Spending[] {
  const merged = new Map<string, Spending>();
  for (const spending of spendings) {
    const key = spendingKey(spending);
    const count = (merged.get(key)?.count ?? 0) + spending.count;
    merged.set(key, { ...spending, count });
  }
  return [...merged.values()].sort((first, second) =>
    second.count - first.count ||
    (spendingKey(first) < spendingKey(second) ? -1 : 1)
  );
}

/** Counts the spendings of one time bucket. */
export class SpendingCounter {
  #spendings = new Map<string, Spending>();

  record(sample: IServiceLevelSample): void {
    if (sample.outcome === "good") return;
    const { outcome, target, failureDomain } = sample;
    const identity = { outcome, target, failureDomain };
    const isKnown = this.#spendings.has(spendingKey(identity));
    const isFull = this.#spendings.size >= MAXIMUM_SPENDINGS_PER_BUCKET;
    const spending = isKnown || !isFull
      ? identity
      : { outcome, target: OVERFLOW_TARGET };
    const key = spendingKey(spending);
    const count = (this.#spendings.get(key)?.count ?? 0) + 1;
    this.#spendings.set(key, { ...spending, count });
  }

  read(): Spending[] {
    return [...this.#spendings.values()];
  }
}
