import type { IMetricLabels } from "./types.ts";

/** Labels of the series that is shared by all label sets over the limit. */
const OVERFLOW_LABELS: IMetricLabels = { overflow: "true" };

/** A value with its labels in the text exposition format. */
export interface ISeries<T> {
  /** Such as `caller="station",service="alerts"`; empty without labels. */
  readonly labels: string;
  readonly value: T;
}

/**
 * A limited number of values by label set.
 *
 * Label sets over the limit share one series with the label
 * `overflow="true"`, so that totals stay exact.
 */
export class SeriesMap<T> {
  #create: () => T;
  #maximum: number;
  #series = new Map<string, T>();

  constructor(create: () => T, maximum: number) {
    this.#create = create;
    this.#maximum = maximum;
  }

  /** Returns the value of a label set and creates it if it is missing. */
  get(labels: IMetricLabels = {}): T {
    const key = formatLabels(labels);
    const existing = this.#series.get(key);
    if (existing !== undefined) return existing;
    if (this.#series.size < this.#maximum) return this.#add(key);
    const overflow = formatLabels(OVERFLOW_LABELS);
    return this.#series.get(overflow) ?? this.#add(overflow);
  }

  /** All series in the order of their creation. */
  entries(): ISeries<T>[] {
    return [...this.#series].map(([labels, value]) => ({ labels, value }));
  }

  #add(key: string): T {
    const value = this.#create();
    this.#series.set(key, value);
    return value;
  }
}

/** Formats labels, sorted by name and escaped for the exposition format. */
export function formatLabels(labels: IMetricLabels): string {
  return Object.keys(labels).sort()
    .map((name) => `${name}="${escapeLabel(labels[name] ?? "")}"`)
    .join(",");
}

function escapeLabel(value: string): string {
  return value
    .replaceAll("\\", "\\\\")
    .replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}
