import type { ICounter, IHistogram, IMetrics } from "./types.ts";

/** Keeps no metrics. */
export class NoMetrics implements IMetrics {
  counter(): ICounter {
    return { add: () => {} };
  }

  histogram(): IHistogram {
    return { record: () => {} };
  }

  gauge(): void {}

  render(): string {
    return "";
  }
}
