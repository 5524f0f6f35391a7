import { z } from "zod";
import type { EventLevel, IEventDefinition } from "./types.ts";

/** Defines a numbered event. Each folder of `src` has its own in `events.ts`. */
export function defineEvent<S extends z.ZodRawShape>(
  number: number,
  name: string,
  options: {
    level: EventLevel;
    help: string;
    fields: S;
    labels?: readonly (keyof S & string)[];
  },
): IEventDefinition<S> {
  return {
    number,
    name,
    level: options.level,
    help: options.help,
    fields: z.object(options.fields),
    labels: options.labels ?? [],
  };
}
