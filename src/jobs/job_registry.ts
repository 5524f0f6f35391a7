import { invariant } from "../common/mod.ts";
import type { BatchJob } from "./batch_job.ts";

/** Jobs by id, key and caller, and the number of each caller's open items. */
export class JobRegistry {
  #jobs = new Map<string, BatchJob>();
  #jobByKey = new Map<string, BatchJob>();
  #jobsOfCaller = new Map<string, Set<string>>();
  #openItemsOfCaller = new Map<string, number>();

  /** All jobs in the order of submission. */
  get all(): BatchJob[] {
    return [...this.#jobs.values()];
  }

  get(id: string): BatchJob | undefined {
    return this.#jobs.get(id);
  }

  /** The job that a caller submitted with a key. */
  byKey(fields: { caller: string; key: string }): BatchJob | undefined {
    return this.#jobByKey.get(keyOf(fields));
  }

  /** Ids of a caller's jobs, newest first. */
  idsOf(caller: string): string[] {
    return [...this.#jobsOfCaller.get(caller) ?? []].reverse();
  }

  /** Number of unfinished items in all jobs of a caller. */
  openItemsOf(caller: string): number {
    return this.#openItemsOfCaller.get(caller) ?? 0;
  }

  add(job: BatchJob): void {
    const { id, caller } = job.record;
    this.#jobs.set(id, job);
    this.#jobByKey.set(keyOf(job.record), job);
    const jobIds = this.#jobsOfCaller.get(caller) ?? new Set();
    this.#jobsOfCaller.set(caller, jobIds.add(id));
    this.adjustOpenItems(job, job.openItems);
  }

  remove(job: BatchJob): void {
    const { id, caller } = job.record;
    this.#jobs.delete(id);
    this.#jobByKey.delete(keyOf(job.record));
    const jobIds = this.#jobsOfCaller.get(caller);
    jobIds?.delete(id);
    if (jobIds?.size === 0) this.#jobsOfCaller.delete(caller);
  }

  /** Adds to the number of open items of the job's caller. */
  adjustOpenItems(job: BatchJob, change: number): void {
    const { caller } = job.record;
    const open = this.openItemsOf(caller) + change;
    invariant(open >= 0, "a caller's number of open items is negative");
    if (open === 0) this.#openItemsOfCaller.delete(caller);
    else this.#openItemsOfCaller.set(caller, open);
  }
}

function keyOf(fields: { caller: string; key: string }): string {
  return `${fields.caller}/${fields.key}`;
}
