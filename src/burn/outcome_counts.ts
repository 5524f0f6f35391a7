import type { OutcomeCounts } from "./messages.ts";

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
