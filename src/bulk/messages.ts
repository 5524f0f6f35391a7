import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { listedEngineSchema } from "../placement/mod.ts";
import { itemOutcomeSchema } from "./item_run.ts";
import {
  bulkItemSchema,
  bulkJobSchema,
  bulkResultSchema,
  itemProgressSchema,
} from "./types.ts";

/** Events that an item has received since its progress was last written. */
export const progressDeltaSchema = z.object({
  job: z.string(),
  item: z.string(),
  /** Number of events whose data was written before. */
  from: z.number(),
  data: z.array(z.string()),
  lastEventId: z.string(),
  softwareVersion: itemProgressSchema.shape.softwareVersion,
});
export type ProgressDelta = z.infer<typeof progressDeltaSchema>;

/** Commands that change the jobs. */
export const bulkCommandSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("submit"), job: bulkJobSchema }),
  z.object({
    kind: z.literal("record"),
    job: z.string(),
    item: z.string(),
    state: bulkResultSchema.shape.state,
    /** Number of events whose data was written as progress before. */
    from: z.number(),
    /** Data of the events after them. */
    data: z.array(z.string()),
  }),
  z.object({
    kind: z.literal("progress"),
    deltas: z.array(progressDeltaSchema),
  }),
  z.object({ kind: z.literal("end"), job: z.string() }),
  z.object({ kind: z.literal("forget"), jobs: z.array(z.string()) }),
]);
export type BulkCommand = z.infer<typeof bulkCommandSchema>;

/** Section of the replicated state that holds the jobs. */
export const bulkSection = {
  name: "bulk",
  command: bulkCommandSchema,
  output: z.object({ isKnown: z.boolean() }),
};

/** Caller that asks about a job; absent if it needed no key. */
const jobCallerSchema = z.string().optional();

/** Submits a job; repeating the submission succeeds without effect. */
export const submitBulkMethod = defineMethod("bulk.submit", {
  params: z.object({ job: bulkJobSchema }),
  result: z.object({}),
  lane: "bulk",
});

/** Reads the results from a position on. */
export const readBulkMethod = defineMethod("bulk.read", {
  params: z.object({
    job: z.string(),
    caller: jobCallerSchema,
    after: z.number(),
    /** Milliseconds that the caller waits for a first result. */
    wait: z.number(),
  }),
  result: z.object({
    isKnown: z.boolean(),
    total: z.number(),
    next: z.number(),
    results: z.array(bulkResultSchema),
  }),
});

/** Reads the body of an item. */
export const readBulkItemMethod = defineMethod("bulk.read-item", {
  params: z.object({
    job: z.string(),
    caller: jobCallerSchema,
    item: z.string(),
  }),
  /** Body in base64; undefined for an item that is unknown or not open. */
  result: z.object({ body: z.string().optional() }),
});

/** Ends a job: its items without a result no longer run. */
export const endBulkMethod = defineMethod("bulk.end", {
  params: z.object({ job: z.string(), caller: jobCallerSchema }),
  result: z.object({ isKnown: z.boolean() }),
});

/** Data of a run that the leader may not hold yet. */
export const runDeltaSchema = z.object({
  run: z.string(),
  /** Number of lines of data of the run that come before. */
  from: z.number(),
  data: z.array(z.string()),
  lastEventId: z.string().optional(),
});
export type RunDelta = z.infer<typeof runDeltaSchema>;

/** An item whose request the other store reads from its own files. */
const itemReferenceSchema = z.object({
  id: z.string(),
  job: z.string(),
});

/** Makes another store run an item; answered when the run has ended. */
export const runItemMethod = defineMethod("bulk.run-item", {
  params: z.object({
    run: z.string(),
    /** Term of the leader that orders the run. */
    term: z.number(),
    engine: listedEngineSchema,
    host: z.string(),
    item: z.union([bulkItemSchema, itemReferenceSchema]),
    lastEventId: z.string().optional(),
  }),
  result: z.object({
    outcome: itemOutcomeSchema,
    delta: runDeltaSchema,
    /** Whether the engine has announced to this store that it leaves. */
    isEngineLeaving: z.boolean().optional(),
  }),
  lane: "bulk",
});

/** Stops a run at another store. */
export const stopItemMethod = defineMethod("bulk.stop-item", {
  params: z.object({ run: z.string() }),
  result: z.object({}),
});

/** Reports the progress of runs to the leader. */
export const reportRunsMethod = defineMethod("bulk.report-runs", {
  params: z.object({ store: z.string(), deltas: z.array(runDeltaSchema) }),
  result: z.object({
    /** Term of the leader; absent from leaders of earlier versions. */
    term: z.number().optional(),
    /** Those of the reported runs that the leader has ordered. */
    runs: z.array(z.object({
      run: z.string(),
      /** Number of lines of the run's data that the leader holds. */
      heldLines: z.number(),
      /** Whether the run is to continue. */
      isWanted: z.boolean(),
    })).optional(),
  }),
  lane: "bulk",
});
export type ReportAnswer = z.infer<typeof reportRunsMethod.result>;
