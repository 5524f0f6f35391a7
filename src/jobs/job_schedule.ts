import { z } from "zod";
import type { BatchJob } from "./batch_job.ts";

/** One in this many turns of a caller rotates through its jobs. */
const ROTATION_INTERVAL_TURNS = 4;

/** Number of turns of the callers of each service, next caller first. */
export const scheduleSnapshotSchema = z.array(z.object({
  service: z.string(),
  callers: z.array(z.object({ caller: z.string(), turns: z.number() })),
}));
export type ScheduleSnapshot = z.infer<typeof scheduleSnapshotSchema>;

interface ICallerQueue {
  /** Jobs with available items, earliest deadline first. */
  jobs: BatchJob[];
  turns: number;
}

/**
 * Chooses the job of the next item to grant.
 *
 * Callers are served round-robin. Of a caller's jobs, the one with the
 * earliest deadline is served first, but every fourth turn rotates through
 * all of its jobs, so that a long job does not block a short one behind it.
 */
export class JobSchedule {
  #services = new Map<string, Map<string, ICallerQueue>>();

  /** Adds a job with available items unless it is already present. */
  add(job: BatchJob): void {
    const { service, caller } = job.record;
    const callers = this.#services.get(service) ?? new Map();
    this.#services.set(service, callers);
    const queue = callers.get(caller) ?? { jobs: [], turns: 0 };
    callers.set(caller, queue);
    const at = insertionIndex(queue.jobs, job);
    if (queue.jobs[at] !== job) queue.jobs.splice(at, 0, job);
  }

  remove(job: BatchJob): void {
    const { service, caller } = job.record;
    const callers = this.#services.get(service);
    const queue = callers?.get(caller);
    if (!queue) return;
    const at = insertionIndex(queue.jobs, job);
    if (queue.jobs[at] === job) queue.jobs.splice(at, 1);
    if (queue.jobs.length === 0) callers?.delete(caller);
  }

  /** Whether a job of the service has available items. */
  hasJobs(service: string): boolean {
    return (this.#services.get(service)?.size ?? 0) > 0;
  }

  /** Job of the next item; undefined when no job has available items. */
  next(service: string): BatchJob | undefined {
    const callers = this.#services.get(service);
    const [first] = callers ?? [];
    if (!first) return undefined;
    const [caller, queue] = first;
    callers?.delete(caller);
    callers?.set(caller, queue);
    queue.turns += 1;
    const rotates = queue.turns % ROTATION_INTERVAL_TURNS === 0;
    const turn = Math.floor(queue.turns / ROTATION_INTERVAL_TURNS);
    return queue.jobs[rotates ? turn % queue.jobs.length : 0];
  }

  snapshot(): ScheduleSnapshot {
    return [...this.#services].map(([service, callers]) => ({
      service,
      callers: [...callers].map(([caller, { turns }]) => ({ caller, turns })),
    }));
  }

  /** Restores the turns; the jobs must be added afterwards. */
  restore(snapshot: ScheduleSnapshot): void {
    this.#services.clear();
    for (const { service, callers } of snapshot) {
      const queues = new Map<string, ICallerQueue>();
      for (const { caller, turns } of callers) {
        queues.set(caller, { jobs: [], turns });
      }
      this.#services.set(service, queues);
    }
  }
}

/** Index of a job in the ordered list, or at which to insert it. */
function insertionIndex(jobs: readonly BatchJob[], job: BatchJob): number {
  let low = 0;
  let high = jobs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = jobs[middle];
    if (other && isBefore(other, job)) low = middle + 1;
    else high = middle;
  }
  return low;
}

function isBefore(first: BatchJob, second: BatchJob): boolean {
  const { deadlineAt, sequence } = first.record;
  if (deadlineAt !== second.record.deadlineAt) {
    return deadlineAt < second.record.deadlineAt;
  }
  return sequence < second.record.sequence;
}
