import { z } from "zod";
import { formatTime } from "./output.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** A batch job as the callers' API returns it. */
export const batchObjectSchema = z.looseObject({
  id: z.string(),
  status: z.string(),
  output_file_id: z.string().nullish(),
  error_file_id: z.string().nullish(),
  created_at: z.number(),
  expires_at: z.number().nullish(),
  request_counts: z.object({
    total: z.number(),
    completed: z.number(),
    failed: z.number(),
  }),
});
export type BatchObject = z.infer<typeof batchObjectSchema>;

/** A page of batch jobs. */
export const batchListSchema = z.object({
  data: z.array(batchObjectSchema),
  has_more: z.boolean(),
});

/** Statuses of a job that has not finished. */
const UNFINISHED_STATUSES = [
  "validating",
  "in_progress",
  "finalizing",
  "cancelling",
];

/** Whether a job has finished, successfully or not. */
export function isFinished(job: BatchObject): boolean {
  return !UNFINISHED_STATUSES.includes(job.status);
}

/** Formats the status of a job for people. */
export function jobLines(job: BatchObject): string[] {
  const { total, completed, failed } = job.request_counts;
  const deadline = job.expires_at
    ? [`deadline: ${formatTime(job.expires_at * MILLISECONDS_PER_SECOND)}`]
    : [];
  return [
    `${job.id}: ${job.status}`,
    `items: ${total}, done ${completed}, failed ${failed}`,
    `submitted: ${formatTime(job.created_at * MILLISECONDS_PER_SECOND)}`,
    ...deadline,
  ];
}
