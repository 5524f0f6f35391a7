import type { z } from "zod";
import type { IEventDefinition, IEventLog } from "../events/mod.ts";
import type { ICounter, IMetrics } from "./types.ts";

/** Counts events by number before another log writes them. */
export class CountingEventLog implements IEventLog {
  #next: IEventLog;
  #counter: ICounter;

  constructor(next: IEventLog, metrics: IMetrics) {
    this.#next = next;
    this.#counter = metrics.counter(
      "figroad_events_total",
      "Events by number; see docs/EVENTS.md.",
    );
  }

  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void {
    const { number, name, level } = event;
    this.#counter.add(1, { event: String(number), name, level });
    this.#next.emit(event, fields);
  }
}
