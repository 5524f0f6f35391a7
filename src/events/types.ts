import type { z } from "zod";

/** Severity of an event, named as in `consola`. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** A numbered event with typed fields. */
export interface IEventDefinition<S extends z.ZodRawShape = z.ZodRawShape> {
  /** Stable number; never reused for another event. */
  readonly number: number;
  readonly name: string;
  readonly level: EventLevel;
  /** What happened and what an operator can do about it. */
  readonly help: string;
  readonly fields: z.ZodObject<S>;
  /** Fields with few distinct values, which become labels of metrics. */
  readonly labels: readonly string[];
}

/** Receives the events of the process. */
export interface IEventLog {
  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void;
}
