import { LatencyHistogram } from "./latency_histogram.ts";
import { formatLabels, SeriesMap } from "./series_map.ts";
import type { ICounter, IHistogram, IMetricLabels, IMetrics } from "./types.ts";

/** Maximum number of label sets of one counter or gauge. */
export const MAXIMUM_SERIES = 1_000;

/** Maximum number of label sets of one histogram. */
export const MAXIMUM_HISTOGRAM_SERIES = 200;

/** Upper bounds of the exposed histogram buckets. */
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

/** A value of a gauge and its labels. */
interface IGaugeReading {
  readonly value: number;
  readonly labels?: IMetricLabels;
}

interface ICounterValue {
  total: number;
}

/** Values of one histogram series with their exact sum. */
interface IDistribution {
  readonly histogram: LatencyHistogram;
  sum: number;
}

/** A metric that renders its lines of the exposition format. */
interface IMetric {
  render(): string[];
}

/**
 * Metrics of this instance.
 *
 * Histograms are exposed as cumulative buckets. Those of several instances can
 * be added, and quantiles of the fleet are computed from the sums.
 */
export class Metrics implements IMetrics {
  #metrics = new Map<string, IMetric>();

  counter(name: string, help: string): ICounter {
    const existing = this.#metrics.get(name);
    if (existing instanceof Counter) return existing;
    return this.#register(name, new Counter(name, help));
  }

  histogram(name: string, help: string): IHistogram {
    const existing = this.#metrics.get(name);
    if (existing instanceof HistogramMetric) return existing;
    return this.#register(name, new HistogramMetric(name, help));
  }

  gauge(
    name: string,
    help: string,
    read: () => readonly IGaugeReading[],
  ): void {
    this.#register(name, new Gauge(name, help, read));
  }

  render(): string {
    const lines = [...this.#metrics.values()].flatMap((metric) =>
      metric.render()
    );
    return `${lines.join("\n")}\n`;
  }

  /** @throws TypeError if the name is in use, such as by another metric type. */
  #register<T extends IMetric>(name: string, metric: T): T {
    if (this.#metrics.has(name)) {
      throw new TypeError(`metric ${name} is already defined`);
    }
    this.#metrics.set(name, metric);
    return metric;
  }
}

class Counter implements ICounter, IMetric {
  #name: string;
  #help: string;
  #series = new SeriesMap<ICounterValue>(() => ({ total: 0 }), MAXIMUM_SERIES);

  constructor(name: string, help: string) {
    this.#name = name;
    this.#help = help;
  }

  add(amount: number, labels?: IMetricLabels): void {
    this.#series.get(labels).total += amount;
  }

  render(): string[] {
    return [
      ...renderHeader(this.#name, this.#help, "counter"),
      ...this.#series.entries().map(({ labels, value }) =>
        renderSample(this.#name, labels, value.total)
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
      ...renderHeader(this.#name, this.#help, "gauge"),
      ...this.#read().slice(0, MAXIMUM_SERIES).map(({ value, labels }) =>
        renderSample(this.#name, formatLabels(labels ?? {}), value)
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
      ...renderHeader(this.#name, this.#help, "histogram"),
      ...this.#series.entries().flatMap(({ labels, value }) =>
        this.#renderSeries(labels, value)
      ),
    ];
  }

  #renderSeries(labels: string, series: IDistribution): string[] {
    const { histogram, sum } = series;
    const counts = histogram.cumulativeCounts(BUCKET_BOUNDS_MILLISECONDS);
    const renderBucket = (bound: string, count: number) => {
      const bucketLabels = [labels, `le="${bound}"`].filter(Boolean).join(",");
      return renderSample(`${this.#name}_bucket`, bucketLabels, count);
    };
    return [
      ...BUCKET_BOUNDS_MILLISECONDS.map((bound, index) =>
        renderBucket(String(bound), counts[index] ?? 0)
      ),
      renderBucket("+Inf", histogram.count),
      renderSample(`${this.#name}_sum`, labels, sum),
      renderSample(`${this.#name}_count`, labels, histogram.count),
    ];
  }
}

function renderHeader(name: string, help: string, type: string): string[] {
  const text = help.replaceAll("\\", "\\\\").replaceAll("\n", "\\n");
  return [`# HELP ${name} ${text}`, `# TYPE ${name} ${type}`];
}

function renderSample(name: string, labels: string, value: number): string {
  return labels === "" ? `${name} ${value}` : `${name}{${labels}} ${value}`;
}
