import { LatencyHistogram } from "./latency_histogram.ts";
import { formatLabels, SeriesMap } from "./series_map.ts";
import type { ICounter, IHistogram, IMetricLabels, IMetrics } from "./types.ts";

/** Label sets of one counter or gauge. */
export const MAXIMUM_SERIES = 1_000;

/** Label sets of one histogram. */
export const MAXIMUM_HISTOGRAM_SERIES = 200;

/** Upper bounds of the buckets that are exposed, in milliseconds. */
const BUCKET_BOUNDS_MILLISECONDS = [
  1,
  2,
  5,
  10,
  20,
  30,
  50,
  100,
  200,
  500,
  1_100,
  2_000,
  5_000,
  10_000,
  30_000,
  60_000,
];

/** Value of a gauge when it is read. */
interface IGaugeReading {
  readonly value: number;
  readonly labels?: IMetricLabels;
}

/** Number that a counter has reached. */
interface ITotal {
  total: number;
}

/** Times of one histogram series with their exact sum. */
interface IDistribution {
  readonly histogram: LatencyHistogram;
  sum: number;
}

/** A metric that renders its own lines. */
interface IMetric {
  render(): string[];
}

/**
 * Metrics of this instance.
 *
 * Histograms are exposed as cumulative buckets, which add up over instances;
 * quantiles of the fleet come from the added buckets.
 */
export class Metrics implements IMetrics {
  #metrics = new Map<string, IMetric>();

  counter(name: string, help: string): ICounter {
    const existing = this.#metrics.get(name);
    if (existing instanceof Counter) return existing;
    return this.#define(name, new Counter(name, help));
  }

  histogram(name: string, help: string): IHistogram {
    const existing = this.#metrics.get(name);
    if (existing instanceof HistogramMetric) return existing;
    return this.#define(name, new HistogramMetric(name, help));
  }

  gauge(
    name: string,
    help: string,
    read: () => readonly IGaugeReading[],
  ): void {
    this.#define(name, new Gauge(name, help, read));
  }

  render(): string {
    const lines = [...this.#metrics.values()].flatMap((metric) =>
      metric.render()
    );
    return `${lines.join("\n")}\n`;
  }

  /** @throws TypeError when the name belongs to another kind of metric. */
  #define<T extends IMetric>(name: string, metric: T): T {
    if (this.#metrics.has(name)) {
      throw new TypeError(`metric ${name} is defined already`);
    }
    this.#metrics.set(name, metric);
    return metric;
  }
}

class Counter implements ICounter, IMetric {
  #name: string;
  #help: string;
  #series = new SeriesMap<ITotal>(() => ({ total: 0 }), MAXIMUM_SERIES);

  constructor(name: string, help: string) {
    this.#name = name;
    this.#help = help;
  }

  add(amount: number, labels?: IMetricLabels): void {
    this.#series.get(labels).total += amount;
  }

  render(): string[] {
    return [
      ...heading(this.#name, this.#help, "counter"),
      ...this.#series.entries().map(({ labels, value }) =>
        sample(this.#name, labels, value.total)
      ),
    ];
  }
}

class Gauge implements IMetric {
  #name: string;
  #help: string;
  #read: () => readonly IGaugeReading[];

  constructor(
    name: string,
    help: string,
    read: () => readonly IGaugeReading[],
  ) {
    this.#name = name;
    this.#help = help;
    this.#read = read;
  }

  render(): string[] {
    return [
      ...heading(this.#name, this.#help, "gauge"),
      ...this.#read().slice(0, MAXIMUM_SERIES).map(({ value, labels }) =>
        sample(this.#name, formatLabels(labels ?? {}), value)
      ),
    ];
  }
}

class HistogramMetric implements IHistogram, IMetric {
  #name: string;
  #help: string;
  #series = new SeriesMap<IDistribution>(
    () => ({ histogram: new LatencyHistogram(), sum: 0 }),
    MAXIMUM_HISTOGRAM_SERIES,
  );

  constructor(name: string, help: string) {
    this.#name = name;
    this.#help = help;
  }

  record(value: number, labels?: IMetricLabels): void {
    if (Number.isNaN(value)) return;
    const series = this.#series.get(labels);
    series.histogram.record(value);
    series.sum += value;
  }

  render(): string[] {
    return [
      ...heading(this.#name, this.#help, "histogram"),
      ...this.#series.entries().flatMap(({ labels, value }) =>
        this.#renderSeries(labels, value)
      ),
    ];
  }

  #renderSeries(labels: string, series: IDistribution): string[] {
    const { histogram, sum } = series;
    const counts = histogram.countsWithin(BUCKET_BOUNDS_MILLISECONDS);
    const bucket = (bound: string, count: number) => {
      const both = [labels, `le="${bound}"`].filter(Boolean).join(",");
      return sample(`${this.#name}_bucket`, both, count);
    };
    return [
      ...BUCKET_BOUNDS_MILLISECONDS.map((bound, index) =>
        bucket(String(bound), counts[index] ?? 0)
      ),
      bucket("+Inf", histogram.count),
      sample(`${this.#name}_sum`, labels, sum),
      sample(`${this.#name}_count`, labels, histogram.count),
    ];
  }
}

function heading(name: string, help: string, type: string): string[] {
  const text = help.replaceAll("\\", "\\\\").replaceAll("\n", "\\n");
  return [`# HELP ${name} ${text}`, `# TYPE ${name} ${type}`];
}

function sample(name: string, labels: string, value: number): string {
  return labels === "" ? `${name} ${value}` : `${name}{${labels}} ${value}`;
}
