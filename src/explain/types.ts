import { z } from "zod";
import { unansweredSchema } from "../operators/query_members.ts";

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

/** What one instance knows of a subject. */
export const subjectTraceSchema = z.object({
  /** Oldest first. */
  steps: z.array(traceStepSchema),
  /** Steps of this subject that made room for later ones. */
  droppedSteps: z.number(),
  /**
   * Subjects whose last step lies before this point may have been dropped;
   * milliseconds since the Unix epoch.
   */
  keptSince: z.number(),
});
export type SubjectTrace = z.infer<typeof subjectTraceSchema>;

/** A recorder that also says how far back its memory reaches. */
export interface ITraceReader extends ITraceRecorder {
  trace(subject: string): SubjectTrace;
}

/** What the fleet knows of a subject. */
export const explanationSchema = z.object({
  subject: z.string(),
  /** Steps of all instances, oldest first by their wall clocks. */
  steps: z.array(traceStepSchema),
  droppedSteps: z.number(),
  /** How far back the memory of every instance that answered reaches. */
  keptSince: z.number(),
  answered: z.array(z.string()),
  unanswered: z.array(unansweredSchema),
});
export type Explanation = z.infer<typeof explanationSchema>;
