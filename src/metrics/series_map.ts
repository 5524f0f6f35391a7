import type { IMetricLabels } from "./types.ts";

/** Label of the series that collects what has no series of its own. */
const OVERFLOW_LABELS: IMetricLabels = { overflow: "true" };

/** A value with its labels in exposition form. */
export interface ISeries<T> {
  /** Such as `caller="station",service="alerts"`; empty without labels. */
  readonly labels: string;
  readonly value: T;
}

/**
 * Values by label set, bounded in number.
 *
 * Label sets beyond the bound share one series that is labelled
 * `overflow="true"`, so totals stay right.
 */
export class SeriesMap<T> {
  #create: () => T;
  #maximum: number;
  #series = new Map<string, T>();

  constructor(create: () => T, maximum: number) {
    this.#create = create;
    this.#maximum = maximum;
  }

  /** Returns the value of a label set; creates it within the bound. */
  get(labels: IMetricLabels = {}): T {
    const key = formatLabels(labels);
    const existing = this.#series.get(key);
    if (existing !== undefined) return existing;
    if (this.#series.size < this.#maximum) return this.#add(key);
    const overflow = formatLabels(OVERFLOW_LABELS);
    return this.#series.get(overflow) ?? this.#add(overflow);
  }

  /** All series in the order in which they came. */
  entries(): ISeries<T>[] {
    return [...this.#series].map(([labels, value]) => ({ labels, value }));
  }

  #add(key: string): T {
    const value = this.#create();
    this.#series.set(key, value);
    return value;
  }
}

/** Formats labels by name, escaped as the exposition format asks. */
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
