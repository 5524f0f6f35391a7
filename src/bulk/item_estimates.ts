import type { BulkItem } from "./types.ts";

/** Estimated time per event before any run was measured, in milliseconds. */
const INITIAL_EVENT_MILLISECONDS = 25;

/** Estimated events per token of an item before any item was completed. */
const INITIAL_EVENTS_PER_TOKEN = 0.08;

/** Weight of a new measurement in an exponential moving average. */
const SMOOTHING_FACTOR = 0.1;

/** Minimum number of events of a run for its speed to be measured. */
const MINIMUM_EVENTS = 10;

/** Estimates how long items take from the runs so far. */
export class ItemEstimates {
  #eventMilliseconds = INITIAL_EVENT_MILLISECONDS;
  #eventsPerToken = INITIAL_EVENTS_PER_TOKEN;

  /** Records the number of events of a run and the time it took. */
  recordRun(events: number, milliseconds: number): void {
    if (events < MINIMUM_EVENTS) return;
    this.#eventMilliseconds += SMOOTHING_FACTOR *
      (milliseconds / events - this.#eventMilliseconds);
  }

  /** Records the total number of events of a completed item. */
  recordCompletion(item: BulkItem, events: number): void {
    if (item.tokens <= 0) return;
    this.#eventsPerToken += SMOOTHING_FACTOR *
      (events / item.tokens - this.#eventsPerToken);
  }

  /** Estimated time that an item still needs, in milliseconds. */
  remaining(item: BulkItem, events: number): number {
    const expected = item.tokens * this.#eventsPerToken;
    return Math.max(1, expected - events) * this.#eventMilliseconds;
  }
}
