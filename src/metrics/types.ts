/** Label names and values of a metric. */
export interface IMetricLabels {
  readonly [name: string]: string;
}

/** A value that only rises. */
export interface ICounter {
  add(amount: number, labels?: IMetricLabels): void;
}

/** A distribution, kept in an HDR histogram. */
export interface IHistogram {
  record(value: number, labels?: IMetricLabels): void;
}

/** Metrics of this instance, served at `/metrics`. */
export interface IMetrics {
  /** Defines a counter, or returns the one of this name. */
  counter(name: string, help: string): ICounter;
  /** Defines a histogram; values are in milliseconds. */
  histogram(name: string, help: string): IHistogram;
  /** Defines a gauge that is read when metrics are served. */
  gauge(
    name: string,
    help: string,
    read: () => readonly { value: number; labels?: IMetricLabels }[],
  ): void;
  /** Renders all metrics in the text exposition format. */
  render(): string;
}
