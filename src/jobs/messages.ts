import { z } from "zod";
import { failureCodeSchema } from "../common/mod.ts";
import type { ISectionDefinition } from "../consensus/mod.ts";
import { defineMethod } from "../rpc/mod.ts";

/** State of an input file. */
export const inputFileSchema = z.object({
  id: z.string(),
  caller: z.string(),
  name: z.string(),
  state: z.enum(["open", "closed"]),
  lines: z.number(),
  bytes: z.number(),
  createdAt: z.number(),
  /** Chained SHA-256 of the lines; equal for equal content. */
  digest: z.string(),
});
export type InputFile = z.infer<typeof inputFileSchema>;

/** Counts of a job's items by state. */
export const itemCountsSchema = z.object({
  total: z.number(),
  pending: z.number(),
  leased: z.number(),
  done: z.number(),
  failed: z.number(),
  cancelled: z.number(),
  mayHaveRun: z.number(),
});
export type ItemCounts = z.infer<typeof itemCountsSchema>;

/** A batch job, as callers see it. */
export const jobSchema = z.object({
  id: z.string(),
  caller: z.string(),
  /** Idempotency key; identifies one job of the caller. */
  key: z.string(),
  /** Digest of the submission; a different one for this key is refused. */
  fingerprint: z.string(),
  fileId: z.string(),
  fileDigest: z.string(),
  service: z.string(),
  endpoint: z.enum(["/v1/chat/completions", "/v1/completions"]),
  /** Whether items may be run again when their outcome is unknown. */
  idempotent: z.boolean(),
  state: z.enum(["running", "cancelled", "finished"]),
  createdAt: z.number(),
  /** Milliseconds since the Unix epoch. */
  deadlineAt: z.number(),
  finishedAt: z.number().optional(),
  metadata: z.record(z.string(), z.string()),
  counts: itemCountsSchema,
});
export type Job = z.infer<typeof jobSchema>;

/** One attempt at an item. */
export const itemReferenceSchema = z.object({
  jobId: z.string(),
  index: z.int().min(0),
  attempt: z.int().min(1),
});
export type ItemReference = z.infer<typeof itemReferenceSchema>;

/** Outcome of an attempt at an item. */
export const itemOutcomeSchema = itemReferenceSchema.extend({
  /** `again`: failed; retried until the limit of failures is reached. */
  status: z.enum(["done", "failed", "again", "may-have-run", "released"]),
  /** Result line of the output file; empty with `released`. */
  line: z.string(),
});
export type ItemOutcome = z.infer<typeof itemOutcomeSchema>;

/** Items granted to one instance until its lease ends. */
export const itemGrantSchema = z.object({
  leaseId: z.string(),
  holder: z.string(),
  items: z.array(itemReferenceSchema),
});
export type ItemGrant = z.infer<typeof itemGrantSchema>;

export const jobsCommandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("open-file"),
    fileId: z.string(),
    caller: z.string(),
    name: z.string(),
  }),
  z.object({
    kind: z.literal("append-lines"),
    fileId: z.string(),
    /** Number of lines before these; makes the append idempotent. */
    after: z.int().min(0),
    lines: z.array(z.string()),
  }),
  z.object({ kind: z.literal("close-file"), fileId: z.string() }),
  z.object({ kind: z.literal("abandon-file"), fileId: z.string() }),
  z.object({
    kind: z.literal("submit"),
    jobId: z.string(),
    caller: z.string(),
    key: z.string(),
    fingerprint: z.string(),
    fileId: z.string(),
    service: z.string(),
    endpoint: z.enum(["/v1/chat/completions", "/v1/completions"]),
    idempotent: z.boolean(),
    deadlineAt: z.number(),
    metadata: z.record(z.string(), z.string()),
    /** Maximum number of unfinished items in all jobs of the caller. */
    queuedItemsLimit: z.number(),
  }),
  z.object({ kind: z.literal("cancel"), jobId: z.string() }),
  z.object({
    kind: z.literal("grant"),
    leaseId: z.string(),
    holder: z.string(),
    service: z.string(),
    maximum: z.int().min(1),
  }),
  z.object({ kind: z.literal("expire"), leaseId: z.string() }),
  z.object({
    kind: z.literal("complete"),
    outcomes: z.array(itemOutcomeSchema),
  }),
  /** Drops jobs and files whose retention has ended. */
  z.object({ kind: z.literal("sweep") }),
]);
export type JobsCommand = z.infer<typeof jobsCommandSchema>;

export const jobsOutputSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("done") }),
  z.object({ kind: z.literal("file"), file: inputFileSchema }),
  z.object({ kind: z.literal("job"), job: jobSchema }),
  z.object({ kind: z.literal("grant"), grant: itemGrantSchema }),
  z.object({
    kind: z.literal("completed"),
    /** Attempts whose outcomes were recorded; the others arrived too late. */
    recorded: z.array(itemReferenceSchema),
  }),
  z.object({
    kind: z.literal("refused"),
    code: failureCodeSchema,
    reason: z.string(),
  }),
]);
export type JobsOutput = z.infer<typeof jobsOutputSchema>;

/** Section of the replicated state that holds batch jobs. */
export const jobsSection = {
  name: "jobs",
  command: jobsCommandSchema,
  output: jobsOutputSchema,
} satisfies ISectionDefinition;

/** An item with its input, as sent to the runner. */
export const leasedItemSchema = itemReferenceSchema.extend({
  service: z.string(),
  endpoint: z.enum(["/v1/chat/completions", "/v1/completions"]),
  idempotent: z.boolean(),
  deadlineAt: z.number(),
  caller: z.string(),
  /** Line of the input file. */
  input: z.string(),
});
export type LeasedItem = z.infer<typeof leasedItemSchema>;

/** Leases items of a service to the calling instance. */
export const leaseItemsMethod = defineMethod("jobs.lease", {
  params: z.object({
    /** Lease to which the items are added; created if it does not exist. */
    leaseId: z.string(),
    service: z.string(),
    maximum: z.int().min(1).max(1_000),
  }),
  result: z.object({ items: z.array(leasedItemSchema) }),
});

/** Extends a lease by its full duration. */
export const renewLeaseMethod = defineMethod("jobs.renew", {
  params: z.object({
    leaseId: z.string(),
    /** Jobs of the items that the holder runs. */
    jobIds: z.array(z.string()),
  }),
  result: z.object({
    /** False when the calling instance does not hold the lease. */
    held: z.boolean(),
    /** Given jobs that are no longer running. */
    stoppedJobs: z.array(z.string()),
  }),
});

/** Reads a job. */
export const readJobMethod = defineMethod("jobs.read", {
  params: z.object({ jobId: z.string() }),
  result: z.object({ job: jobSchema.optional() }),
});

/** Lists a caller's jobs, newest first. */
export const listJobsMethod = defineMethod("jobs.list", {
  params: z.object({
    caller: z.string(),
    after: z.string().optional(),
    limit: z.int().min(1).max(100),
  }),
  result: z.object({ jobs: z.array(jobSchema), more: z.boolean() }),
});

/** Reads the record of an input file. */
export const readFileMethod = defineMethod("jobs.read-file", {
  params: z.object({ fileId: z.string() }),
  result: z.object({ file: inputFileSchema.optional() }),
});

/** Reads a page of result lines. */
export const readResultsMethod = defineMethod("jobs.results", {
  params: z.object({
    jobId: z.string(),
    /** Position at which the page begins; 0 for the first page. */
    from: z.int().min(0),
    limit: z.int().min(1).max(10_000),
    kind: z.enum(["output", "error", "all"]),
    /**
     * `completion`: as results were recorded, so that positions stay valid
     * while the job runs. `item`: as in the input file; ended jobs only.
     */
    order: z.enum(["completion", "item"]),
  }),
  result: z.object({
    lines: z.array(z.string()),
    /** Position of the next page; absent after the last recorded result. */
    next: z.number().optional(),
    /** Position after the last record read for this page. */
    position: z.number(),
  }),
});
