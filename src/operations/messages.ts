import { z } from "zod";
import type { ISectionDefinition } from "../consensus/mod.ts";

/** Answer of a completed operation. */
export const operationAnswerSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  /** Bytes of the body in base64. */
  body: z.string(),
});
export type OperationAnswer = z.infer<typeof operationAnswerSchema>;

const operationFields = {
  caller: z.string(),
  key: z.string(),
  attempt: z.string(),
};

/** Commands that change operation records; each is idempotent. */
export const operationsCommandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("begin"),
    ...operationFields,
    /** Hash of the request. */
    fingerprint: z.string(),
  }),
  z.object({
    kind: z.literal("complete"),
    ...operationFields,
    /** Absent when the answer is too long to keep. */
    answer: operationAnswerSchema.optional(),
  }),
  z.object({ kind: z.literal("abandon"), ...operationFields }),
]);
export type OperationsCommand = z.infer<typeof operationsCommandSchema>;

/** Outputs of these commands. */
export const operationsOutputSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("begun") }),
  z.object({ kind: z.literal("completed"), answer: operationAnswerSchema }),
  z.object({ kind: z.literal("answer-dropped") }),
  z.object({ kind: z.literal("in-progress") }),
  z.object({ kind: z.literal("other-request") }),
  z.object({ kind: z.literal("full") }),
  z.object({ kind: z.literal("recorded") }),
  z.object({ kind: z.literal("unknown-operation") }),
]);
export type OperationsOutput = z.infer<typeof operationsOutputSchema>;

/** Record of one operation. */
export const operationRecordSchema = z.object({
  ...operationFields,
  fingerprint: z.string(),
  state: z.enum(["begun", "completed", "abandoned"]),
  answer: operationAnswerSchema.optional(),
  /** Time of the latest change, in milliseconds since the Unix epoch. */
  changedAt: z.number(),
});
export type OperationRecord = z.infer<typeof operationRecordSchema>;

/** Section of the replicated state that holds the operation records. */
export const operationsSection: ISectionDefinition<
  typeof operationsCommandSchema,
  typeof operationsOutputSchema
> = {
  name: "operations",
  command: operationsCommandSchema,
  output: operationsOutputSchema,
};
