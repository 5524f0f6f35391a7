import type { BatchJob } from "./batch_job.ts";

/** Time for which an ended job and its results are kept, in milliseconds. */
export const JOB_RETENTION_MILLISECONDS = 3 * 24 * 3_600_000;

/** Bytes of results above which the oldest ended jobs are dropped. */
export const RETAINED_RESULT_BYTES = 64 * 1024 ** 3;

/** Ended jobs whose results are kept, in the order in which they ended. */
export class EndedJobs {
  #jobs = new Set<BatchJob>();
  #bytes = 0;

  get ids(): string[] {
    return [...this.#jobs].map(({ record }) => record.id);
  }

  add(job: BatchJob): void {
    this.#jobs.add(job);
    this.#bytes += job.resultBytes;
  }

  remove(job: BatchJob): void {
    if (this.#jobs.delete(job)) this.#bytes -= job.resultBytes;
  }

  /** The oldest job, if its retention has ended or results exceed the limit. */
  nextExpired(now: number): BatchJob | undefined {
    const [job] = this.#jobs;
    const endedAt = job?.record.finishedAt ?? Infinity;
    const isOld = endedAt + JOB_RETENTION_MILLISECONDS <= now;
    return isOld || this.#bytes > RETAINED_RESULT_BYTES ? job : undefined;
  }
}
