import type { z } from "zod";

/** Severity of an event, in the names of `consola`. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** A numbered event with typed fields. */
export interface IEventDefinition<S extends z.ZodRawShape = z.ZodRawShape> {
  /** Stable number; never used again for another event. */
  readonly number: number;
  readonly name: string;
  readonly level: EventLevel;
  /** What happened and what an operator may do about it. */
  readonly help: string;
  readonly fields: z.ZodObject<S>;
  /** Fields with few values, by which metrics tell occurrences apart. */
  readonly labels: readonly string[];
}

/** Sink for numbered events. */
export interface IEventLog {
  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void;
}
