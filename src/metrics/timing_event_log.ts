import type { z } from "zod";
import type { IEventDefinition, IEventLog } from "../events/mod.ts";
import type { IHistogram, IMetrics } from "./types.ts";

/** Fields that hold times, with the label that they get. */
const TIME_FIELDS: Readonly<Record<string, string>> = {
  milliseconds: "total",
  firstMilliseconds: "first",
  waitMilliseconds: "wait",
  retryMilliseconds: "retry",
  sinceAcceptedMilliseconds: "since-accepted",
};

/** Records the times that events tell before another log writes them. */
export class TimingEventLog implements IEventLog {
  #next: IEventLog;
  #histogram: IHistogram;

  constructor(next: IEventLog, metrics: IMetrics) {
    this.#next = next;
    this.#histogram = metrics.histogram(
      "figroad_event_milliseconds",
      "Times that events tell, by event and kind.",
    );
  }

  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void {
    for (const [field, value] of Object.entries(fields)) {
      const kind = TIME_FIELDS[field];
      if (kind === undefined || typeof value !== "number") continue;
      this.#histogram.record(value, { name: event.name, kind });
    }
    this.#next.emit(event, fields);
  }
}
