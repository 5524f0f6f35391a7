import { z } from "zod";

/** Failed attempts after which an item is recorded as failed. */
export const MAXIMUM_FAILURES = 3;

/** Pause before the next attempt, in milliseconds, by number of failures. */
const BACKOFF_MILLISECONDS = [0, 1_000, 5_000];

const entrySchema = z.object({
  jobId: z.string(),
  index: z.number(),
  dueAt: z.number(),
});
type Entry = z.infer<typeof entrySchema>;

export const retryQueueSnapshotSchema = z.array(z.array(entrySchema));

/** Items that wait for their next attempt, in one queue for each pause. */
export class RetryQueue {
  #queues: Set<Entry>[] = BACKOFF_MILLISECONDS.map(() => new Set());

  add(jobId: string, index: number, options: {
    failures: number;
    now: number;
  }): void {
    const pause = BACKOFF_MILLISECONDS[options.failures] ?? 0;
    const dueAt = options.now + pause;
    this.#queues[options.failures]?.add({ jobId, index, dueAt });
  }

  /** Whether the pause of any item is over. */
  hasDue(now: number): boolean {
    return this.#queues.some((queue) => {
      const [first] = queue;
      return first !== undefined && first.dueAt <= now;
    });
  }

  /** Removes and yields the items whose pause is over. */
  *takeDue(now: number): Generator<{ jobId: string; index: number }> {
    for (const queue of this.#queues) {
      for (const entry of queue) {
        if (entry.dueAt > now) break;
        queue.delete(entry);
        yield entry;
      }
    }
  }

  snapshot(): z.infer<typeof retryQueueSnapshotSchema> {
    return this.#queues.map((queue) => [...queue]);
  }

  restore(snapshot: z.infer<typeof retryQueueSnapshotSchema>): void {
    this.#queues = BACKOFF_MILLISECONDS.map((_, failures) =>
      new Set(snapshot[failures] ?? [])
    );
  }
}
