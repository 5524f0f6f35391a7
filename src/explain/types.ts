import { z } from "zod";
import { unansweredSchema } from "../operators/query_members.ts";

/** A decision about a request or a batch item. */
export const traceStepSchema = z.object({
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  instance: z.string(),
  /** Name of the step, such as `admitted`, `attempt` or `resumed`. */
  step: z.string(),
  /** ID of the target that the step concerns. */
  target: z.string().optional(),
  /** Reason for the step. */
  reason: z.string().optional(),
});
export type TraceStep = z.infer<typeof traceStepSchema>;

/** Records the latest decisions in bounded memory. */
export interface ITraceRecorder {
  /** Adds a step to a subject: a request's ID or an item's `jobId/index`. */
  record(
    subject: string,
    step: string,
    details?: { target?: string; reason?: string },
  ): void;
  /** Steps of a subject on this instance, oldest first. */
  read(subject: string): readonly TraceStep[];
}

/** Trace that one instance has of a subject. */
export const subjectTraceSchema = z.object({
  /** Steps, oldest first. */
  steps: z.array(traceStepSchema),
  /** Number of older steps that were dropped for later ones. */
  droppedSteps: z.number(),
  /**
   * Subjects whose last step is before this time may have been evicted, in
   * milliseconds since the Unix epoch.
   */
  keptSince: z.number(),
});
export type SubjectTrace = z.infer<typeof subjectTraceSchema>;

/** A recorder that also returns how far back its traces are complete. */
export interface ITraceReader extends ITraceRecorder {
  trace(subject: string): SubjectTrace;
}

/** Trace of a subject from all instances that answered. */
export const explanationSchema = z.object({
  subject: z.string(),
  /** Steps of all instances, oldest first by their wall clocks. */
  steps: z.array(traceStepSchema),
  droppedSteps: z.number(),
  /** Latest `keptSince` of the instances that answered. */
  keptSince: z.number(),
  answered: z.array(z.string()),
  unanswered: z.array(unansweredSchema),
});
export type Explanation = z.infer<typeof explanationSchema>;
