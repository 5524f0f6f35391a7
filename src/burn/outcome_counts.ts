import type { OutcomeCounts } from "./messages.ts";

/** Counts that are all zero. */
export function emptyCounts(): OutcomeCounts {
  return { good: 0, late: 0, refused: 0, failed: 0 };
}

/** Adds `counts` to `sum` in place. */
export function addCounts(sum: OutcomeCounts, counts: OutcomeCounts): void {
  sum.good += counts.good;
  sum.late += counts.late;
  sum.refused += counts.refused;
  sum.failed += counts.failed;
}

/** Number of requests that count against the objective. */
export function badCount(counts: OutcomeCounts): number {
  return counts.late + counts.refused + counts.failed;
}

/** Number of all requests. */
export function totalCount(counts: OutcomeCounts): number {
  return counts.good + badCount(counts);
}
