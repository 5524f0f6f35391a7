import process from "node:process";
import { type ConsolaInstance, createConsola } from "consola";
import type { z } from "zod";
import type { EventLevel, IEventDefinition, IEventLog } from "./types.ts";

/** Numeric levels of `consola`. */
const CONSOLA_LEVELS: Record<EventLevel, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Writes events to the standard error, one JSON object per line. */
export class EventLog implements IEventLog {
  #consola: ConsolaInstance;

  constructor(instance: string, level: EventLevel) {
    this.#consola = createConsola({
      level: CONSOLA_LEVELS[level],
      reporters: [{
        log: (entry) => {
          const [record] = entry.args as [object];
          const line = { at: entry.date.toISOString(), instance, ...record };
          process.stderr.write(`${JSON.stringify(line)}\n`);
        },
      }],
    });
  }

  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void {
    this.#consola[event.level]({
      event: event.number,
      name: event.name,
      level: event.level,
      ...fields,
    });
  }
}
