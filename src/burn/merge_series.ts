import { LatencyHistogram } from "../metrics/mod.ts";
import type { OutcomeBucket, ServiceLevelSeries } from "./messages.ts";
import { addCounts, emptyCounts } from "./outcome_counts.ts";
import { mergeSpendings } from "./spending_counter.ts";

/** Merges the series of several instances by service and caller group. */
export function mergeSeries(
  series: Iterable<ServiceLevelSeries>,
): ServiceLevelSeries[] {
  return [...mergeSeriesLazily(series)];
}

/**
 * Like `mergeSeries`, but merges one series per step, so that the code that
 * iterates can yield to the event loop in between.
 */
export function* mergeSeriesLazily(
  series: Iterable<ServiceLevelSeries>,
): Generator<ServiceLevelSeries> {
  const groups = new Map<string, ServiceLevelSeries[]>();
  for (const entry of series) {
    const key = JSON.stringify([entry.service, entry.callerGroup]);
    const group = groups.get(key) ?? [];
    group.push(entry);
    groups.set(key, group);
  }
  const sorted = [...groups.entries()]
    .sort(([first], [second]) => first < second ? -1 : 1);
  for (const [, group] of sorted) yield mergeGroup(group);
}

function mergeGroup(group: ServiceLevelSeries[]): ServiceLevelSeries {
  const [{ service, callerGroup }] = group as [ServiceLevelSeries];
  return {
    service,
    callerGroup,
    minutes: mergeBuckets(group.flatMap(({ minutes }) => minutes)),
    halfHours: mergeBuckets(group.flatMap(({ halfHours }) => halfHours)),
    spending: mergeSpendings(group.flatMap(({ spending }) => spending)),
    firstToken: mergeLatencies(group.map(({ firstToken }) => firstToken)),
    betweenTokens: mergeLatencies(
      group.map(({ betweenTokens }) => betweenTokens),
    ),
  };
}

function mergeBuckets(buckets: OutcomeBucket[]): OutcomeBucket[] {
  const merged = new Map<number, OutcomeBucket>();
  for (const { at, counts } of buckets) {
    const bucket = merged.get(at) ?? { at, counts: emptyCounts() };
    addCounts(bucket.counts, counts);
    merged.set(at, bucket);
  }
  return [...merged.values()].sort((first, second) => first.at - second.at);
}

function mergeLatencies(encoded: string[]): string {
  const merged = new LatencyHistogram();
  for (const text of encoded) merged.add(LatencyHistogram.decode(text));
  return merged.encode();
}
