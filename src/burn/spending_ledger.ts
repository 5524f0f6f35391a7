import type { Spending } from "./messages.ts";
import type { IServiceLevelSample } from "./types.ts";

/** Different spendings of one span that are told apart. */
export const MAXIMUM_SPENDINGS_PER_SPAN = 32;

/** Target of spendings beyond the bound. */
export const OVERFLOW_TARGET = "(other targets)";

/** Identity of a spending: all but its count. */
export function spendingKey(spending: Omit<Spending, "count">): string {
  const { outcome, target, failureDomain } = spending;
  return JSON.stringify([outcome, target ?? null, failureDomain ?? null]);
}

/** Adds up equal spendings, largest count first. */
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

/** What spent error budget, in spans of equal length. */
export class SpendingLedger {
  #width: number;
  #maximum: number;
  #spans = new Map<number, Map<string, Spending>>();

  /** @param width length of a span, in milliseconds. */
  constructor(width: number, maximum: number) {
    this.#width = width;
    this.#maximum = maximum;
  }

  /** Counts a request that finished at the given wall time. */
  record(at: number, sample: IServiceLevelSample): void {
    if (sample.outcome === "good") return;
    const span = this.#span(at);
    const { outcome, target, failureDomain } = sample;
    const named = { outcome, target, failureDomain };
    const known = span.has(spendingKey(named));
    const full = span.size >= MAXIMUM_SPENDINGS_PER_SPAN;
    const spending = known || !full
      ? named
      : { outcome, target: OVERFLOW_TARGET };
    const key = spendingKey(spending);
    const count = (span.get(key)?.count ?? 0) + 1;
    span.set(key, { ...spending, count });
    this.#dropBefore(at);
  }

  /** Spendings that are not too old at the given wall time. */
  read(now: number): Spending[] {
    this.#dropBefore(now);
    return mergeSpendings(
      [...this.#spans.values()].flatMap((span) => [...span.values()]),
    );
  }

  #span(at: number): Map<string, Spending> {
    const begin = this.#begin(at);
    const existing = this.#spans.get(begin);
    if (existing) return existing;
    const span = new Map<string, Spending>();
    this.#spans.set(begin, span);
    return span;
  }

  #dropBefore(now: number): void {
    const newest = this.#begin(now);
    const oldest = newest - (this.#maximum - 1) * this.#width;
    for (const begin of this.#spans.keys()) {
      if (begin < oldest || begin > newest) this.#spans.delete(begin);
    }
  }

  #begin(at: number): number {
    return Math.floor(at / this.#width) * this.#width;
  }
}
