import { z } from "zod";

/** A decision about a request or a batch item. */
export const traceStepSchema = z.object({
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  instance: z.string(),
  /** What was done, such as `admitted`, `attempt` or `resumed`. */
  step: z.string(),
  /** Target that the step concerns. */
  target: z.string().optional(),
  /** Why it was done. */
  reason: z.string().optional(),
});
export type TraceStep = z.infer<typeof traceStepSchema>;

/** Keeps the latest decisions in bounded memory. */
export interface ITraceRecorder {
  /** Adds a step to a request's id or an item's `jobId/index`. */
  record(
    subject: string,
    step: string,
    details?: { target?: string; reason?: string },
  ): void;
  /** Steps of a subject on this instance, oldest first. */
  read(subject: string): readonly TraceStep[];
}
