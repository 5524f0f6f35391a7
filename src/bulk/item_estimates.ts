import type { BulkItem } from "./types.ts";

/** Time of an event before any was measured, in milliseconds. */
const INITIAL_EVENT_MILLISECONDS = 25;

/** Events for each token that an item allows, before any was measured. */
const INITIAL_EVENTS_PER_TOKEN = 0.08;

/** Weight of a new measurement in a mean. */
const SMOOTHING_FACTOR = 0.1;

/** Events that a run must have for its speed to be measured. */
const MINIMUM_EVENTS = 10;

/** Learns how long items take, from those that ran. */
export class ItemEstimates {
  #eventMilliseconds = INITIAL_EVENT_MILLISECONDS;
  #eventsPerToken = INITIAL_EVENTS_PER_TOKEN;

  /** A run received a number of events in a time. */
  ran(events: number, milliseconds: number): void {
    if (events < MINIMUM_EVENTS) return;
    this.#eventMilliseconds += SMOOTHING_FACTOR *
      (milliseconds / events - this.#eventMilliseconds);
  }

  /** An item was completed with a number of events in all. */
  completed(item: BulkItem, events: number): void {
    if (item.tokens <= 0) return;
    this.#eventsPerToken += SMOOTHING_FACTOR *
      (events / item.tokens - this.#eventsPerToken);
  }

  /** Time that an item still needs, in milliseconds. */
  remaining(item: BulkItem, events: number): number {
    const expected = item.tokens * this.#eventsPerToken;
    return Math.max(1, expected - events) * this.#eventMilliseconds;
  }
}
