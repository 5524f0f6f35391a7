import type { OutcomeBucket, OutcomeCounts } from "./messages.ts";
import type { ServiceLevelOutcome } from "./types.ts";

/** Counts of nothing. */
export function emptyCounts(): OutcomeCounts {
  return { good: 0, late: 0, refused: 0, failed: 0 };
}

/** Adds counts to a sum. */
export function addCounts(sum: OutcomeCounts, counts: OutcomeCounts): void {
  sum.good += counts.good;
  sum.late += counts.late;
  sum.refused += counts.refused;
  sum.failed += counts.failed;
}

/** Requests that count against the objective. */
export function badCount(counts: OutcomeCounts): number {
  return counts.late + counts.refused + counts.failed;
}

/** All requests. */
export function totalCount(counts: OutcomeCounts): number {
  return counts.good + badCount(counts);
}

/**
 * Counts in spans of equal length, the latest ones only.
 *
 * Spans begin at whole multiples of their length since the Unix epoch, so
 * the spans of several instances match.
 */
export class OutcomeBuckets {
  #width: number;
  #maximum: number;
  #buckets = new Map<number, OutcomeCounts>();

  /** @param width length of a span, in milliseconds. */
  constructor(width: number, maximum: number) {
    this.#width = width;
    this.#maximum = maximum;
  }

  /** Counts one request that finished at the given wall time. */
  record(at: number, outcome: ServiceLevelOutcome): void {
    this.#bucket(at)[outcome] += 1;
    this.#dropBefore(at);
  }

  /** Buckets that are not too old at the given wall time, oldest first. */
  read(now: number): OutcomeBucket[] {
    this.#dropBefore(now);
    return [...this.#buckets]
      .map(([at, counts]) => ({ at, counts: { ...counts } }))
      .sort((first, second) => first.at - second.at);
  }

  #bucket(at: number): OutcomeCounts {
    const begin = this.#begin(at);
    const existing = this.#buckets.get(begin);
    if (existing) return existing;
    const counts = emptyCounts();
    this.#buckets.set(begin, counts);
    return counts;
  }

  /** A wall clock that is set back leaves buckets ahead; they go as well. */
  #dropBefore(now: number): void {
    const newest = this.#begin(now);
    const oldest = newest - (this.#maximum - 1) * this.#width;
    for (const begin of this.#buckets.keys()) {
      if (begin < oldest || begin > newest) this.#buckets.delete(begin);
    }
  }

  #begin(at: number): number {
    return Math.floor(at / this.#width) * this.#width;
  }
}
