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
  /** Caller's key; the same key names the same job. */
  key: z.string(),
  /** Digest of the submission; another one under the same key is refused. */
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

/** An item at one attempt. */
export const itemReferenceSchema = z.object({
  jobId: z.string(),
  index: z.int().min(0),
  attempt: z.int().min(1),
});
export type ItemReference = z.infer<typeof itemReferenceSchema>;

/** How an attempt at an item ended. */
export const itemOutcomeSchema = itemReferenceSchema.extend({
  /** `again`: failed, and may be tried again within the bound of attempts. */
  status: z.enum(["done", "failed", "again", "may-have-run", "released"]),
  /** Result line of the output file; empty with `released`. */
  line: z.string(),
});
export type ItemOutcome = z.infer<typeof itemOutcomeSchema>;

/** Items granted to one instance, to run until its lease ends. */
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
    /** Lines of the file before these; makes a repeated append harmless. */
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
    /** Unfinished items that the caller may have over all its jobs. */
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
  /** Drops what has outlived its retention. */
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
    /** Outcomes that were recorded; the others came too late. */
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

/** An item with its input, as the runner gets it. */
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
    /** Lease that the items join; begun when it is not known yet. */
    leaseId: z.string(),
    service: z.string(),
    maximum: z.int().min(1).max(1_000),
  }),
  result: z.object({ items: z.array(leasedItemSchema) }),
});

/** Extends a lease by a full term. */
export const renewLeaseMethod = defineMethod("jobs.renew", {
  params: z.object({
    leaseId: z.string(),
    /** Jobs of the items that the holder runs. */
    jobIds: z.array(z.string()),
  }),
  result: z.object({
    /** False when the lease has ended or was never begun. */
    held: z.boolean(),
    /** Those of the given jobs that must not run any more. */
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

/** Reads an input file's record. */
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
     * while the job goes on. `item`: as in the input file; finished jobs only.
     */
    order: z.enum(["completion", "item"]),
  }),
  result: z.object({
    lines: z.array(z.string()),
    /** Position of the next page; absent at the end of what is recorded. */
    next: z.number().optional(),
    /** Position up to which this page has read. */
    position: z.number(),
  }),
});
