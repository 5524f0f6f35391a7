import type { z } from "zod";
import type { IEventDefinition, IEventLog } from "../events/mod.ts";
import type { ICounter, IHistogram, IMetrics } from "./types.ts";

/** Fields that contain durations, with the value of their `kind` label. */
const DURATION_FIELDS: Readonly<Record<string, string>> = {
  milliseconds: "total",
  firstMilliseconds: "first",
  waitMilliseconds: "wait",
  retryMilliseconds: "retry",
  sinceAcceptedMilliseconds: "since-accepted",
};

/** Counts events and records their durations, then passes them to a log. */
export class MetricsEventLog implements IEventLog {
  #next: IEventLog;
  #events: ICounter;
  #engineEvents: ICounter;
  #durations: IHistogram;

  constructor(next: IEventLog, metrics: IMetrics) {
    this.#next = next;
    this.#events = metrics.counter(
      "figroad_events_total",
      "Events by number; see docs/EVENTS.md.",
    );
    this.#engineEvents = metrics.counter(
      "figroad_engine_events_total",
      "Events that name an engine, by engine and event.",
    );
    this.#durations = metrics.histogram(
      "figroad_event_milliseconds",
      "Times that events tell, by event and kind.",
    );
  }

  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void {
    const { number, name, level } = event;
    const values = fields as Readonly<Record<string, unknown>>;
    const labels: Record<string, string> = {
      event: String(number),
      name,
      level,
    };
    for (const label of event.labels) labels[label] = String(values[label]);
    this.#events.add(1, labels);
    const { engine } = values;
    if (typeof engine === "string" && engine !== "") {
      this.#engineEvents.add(1, { engine, name });
    }
    for (const [field, value] of Object.entries(values)) {
      const kind = DURATION_FIELDS[field];
      if (kind === undefined || typeof value !== "number") continue;
      this.#durations.record(value, { name, kind });
    }
    this.#next.emit(event, fields);
  }
}
