/** Label names and values of a metric. */
export interface IMetricLabels {
  readonly [name: string]: string;
}

/** A value that only increases. */
export interface ICounter {
  add(amount: number, labels?: IMetricLabels): void;
}

/** A distribution of values, stored in an HDR histogram. */
export interface IHistogram {
  record(value: number, labels?: IMetricLabels): void;
}

/** Metrics of this instance, served at `/metrics`. */
export interface IMetrics {
  /** Defines a counter or returns the existing one of this name. */
  counter(name: string, help: string): ICounter;
  /** Defines or returns a histogram; values are in milliseconds. */
  histogram(name: string, help: string): IHistogram;
  /** Defines a gauge whose values are read when metrics are rendered. */
  gauge(
    name: string,
    help: string,
    read: () => readonly { value: number; labels?: IMetricLabels }[],
  ): void;
  /** Renders all metrics in the text exposition format. */
  render(): string;
}
