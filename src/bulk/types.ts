import { z } from "zod";

/** One request of a batch job. */
export const bulkItemSchema = z.object({
  id: z.string(),
  path: z.string(),
  /** Headers by name, sent unchanged. */
  headers: z.record(z.string(), z.string()),
  /** Body in base64. */
  body: z.string(),
  /** Tokens of the prompt and of the longest output together. */
  tokens: z.number(),
});
export type BulkItem = z.infer<typeof bulkItemSchema>;

/** Bytes in a file of the section that holds the jobs. */
export const fileRangeSchema = z.object({
  file: z.string(),
  offset: z.number(),
  length: z.number(),
});
export type FileRange = z.infer<typeof fileRangeSchema>;

/** Where the request of an item is. */
export const requestLocationSchema = fileRangeSchema.extend({
  job: z.string(),
});
export type RequestLocation = z.infer<typeof requestLocationSchema>;

/** Request of an item without its content. */
export const EMPTY_REQUEST: Pick<BulkItem, "path" | "headers" | "body"> = {
  ...{ path: "", headers: {}, body: "" },
};

/** An item whose request is in a file, as snapshots contain it. */
export const storedItemSchema = z.object({
  id: z.string(),
  tokens: z.number(),
  stored: requestLocationSchema,
});

/**
 * Item of a job that was accepted. Its path, headers and body are empty if the
 * request is in a file, or if no run needs it any more.
 */
export const heldItemSchema = z.union([
  bulkItemSchema.extend({ stored: z.undefined().optional() }),
  storedItemSchema.transform((item) => ({ ...EMPTY_REQUEST, ...item })),
]);
export type HeldItem = z.infer<typeof heldItemSchema>;

/** A job as a caller submits it. */
export const bulkJobSchema = z.object({
  id: z.string(),
  /** Host of the route, sent with the items' requests. */
  host: z.string(),
  /** Path at which the job was submitted; determines the route. */
  path: z.string(),
  /** Caller that submitted it; absent if it needed no key. */
  caller: z.string().optional(),
  items: z.array(bulkItemSchema),
});
export type BulkJob = z.infer<typeof bulkJobSchema>;

/** Outcome of an item; `dead` items were given up. */
export const bulkResultSchema = z.object({
  item: z.string(),
  state: z.enum(["done", "dead"]),
  /** Data of all events, separated by line feeds. */
  text: z.string(),
});
export type BulkResult = z.infer<typeof bulkResultSchema>;

/** Result of a held job; its text is empty if it is in a file. */
export const heldResultSchema = z.union([
  bulkResultSchema.extend({ stored: z.undefined().optional() }),
  bulkResultSchema.omit({ text: true }).extend({ stored: fileRangeSchema })
    .transform((result) => ({ text: "", ...result })),
]);
export type HeldResult = z.infer<typeof heldResultSchema>;

/** Progress of an item without a result. */
export const itemProgressSchema = z.object({
  item: z.string(),
  /** Data of the events received so far. */
  data: z.array(z.string()),
  /** Identifier of the event after which the next run resumes. */
  lastEventId: z.string(),
  /**
   * Software version of the engines that made the events. Absent in progress
   * that earlier versions of figroad wrote.
   */
  softwareVersion: z.string().optional(),
});
export type ItemProgress = z.infer<typeof itemProgressSchema>;

/** A job with its results and progress. */
export const heldJobSchema = z.object({
  job: bulkJobSchema.extend({ items: z.array(heldItemSchema) }),
  /** Wall time of the submission, in milliseconds since the Unix epoch. */
  acceptedAt: z.number(),
  /** Results in the order in which they were recorded. */
  results: z.array(heldResultSchema),
  progress: z.array(itemProgressSchema),
  hasEnded: z.boolean(),
});
export type HeldJob = z.infer<typeof heldJobSchema>;

/** Size of the requests of items, without those that are in files. */
export function requestCharacters(items: readonly BulkItem[]): number {
  let sum = 0;
  for (const { path, headers, body } of items) {
    sum += path.length + body.length;
    for (const [name, value] of Object.entries(headers)) {
      sum += name.length + value.length;
    }
  }
  return sum;
}
