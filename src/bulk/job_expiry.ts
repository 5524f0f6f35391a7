import type { IClock, IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { RouteTable } from "../service_routes/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import { jobsForgotten } from "./events.ts";
import { bulkSection } from "./messages.ts";
import type { IPendingItem, PendingItems } from "./pending_items.ts";

/** Interval between two checks for expired items, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Longest wait for the commit of a deletion, in milliseconds. */
const FORGET_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Time beyond its retention for which an item is kept, in milliseconds. The
 * clocks of stores may differ and jump by seconds.
 */
const ITEM_RETENTION_MARGIN_MILLISECONDS = 10_000;

/** Time beyond its retention for which a job with results is kept, in ms. */
const JOB_RETENTION_MARGIN_MILLISECONDS = 60_000;

/** Dependencies of a `JobExpiry`. */
export interface IJobExpiryOptions {
  readonly log: IReplicatedLog;
  readonly section: BulkSection;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly items: PendingItems;
  readonly routes: () => RouteTable | undefined;
  /** Time from the submission for which results can be read, in ms. */
  readonly jobRetentionMilliseconds: number;
  /** Records an item as dead. */
  readonly giveUp: (pending: IPendingItem, reason: string) => void;
}

/** Gives up expired items and deletes jobs whose results are not read again. */
export class JobExpiry implements IDisposable {
  #options: IJobExpiryOptions;
  #stopping = new AbortController();

  constructor(options: IJobExpiryOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stopping.abort();
  }

  async #run(): Promise<void> {
    const { clock, routes, items } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = clock.deadlineIn(CHECK_INTERVAL_MILLISECONDS);
      await clock.sleepUntil(next, signal);
      if (signal.aborted || !routes()) continue;
      await this.#deleteOldJobs();
      for (const pending of [...items.all]) this.#checkItem(pending);
    }
  }

  /** Gives up an item that has expired or whose route no longer exists. */
  #checkItem(pending: IPendingItem): void {
    const { clock, routes, giveUp } = this.#options;
    const { job, acceptedAt } = pending.job;
    const route = routes()?.find(job.host, job.path);
    const retention = route?.retentionMilliseconds;
    const isExpired = retention !== undefined &&
      clock.wall() > acceptedAt + retention +
          ITEM_RETENTION_MARGIN_MILLISECONDS;
    if (pending.isRecording || (route && !isExpired)) return;
    const reason = route
      ? "the retention time has passed"
      : "the route no longer exists";
    giveUp(pending, reason);
  }

  async #deleteOldJobs(): Promise<void> {
    const { log, section, clock, events, items } = this.#options;
    const keep = this.#options.jobRetentionMilliseconds +
      JOB_RETENTION_MARGIN_MILLISECONDS;
    const jobs = section.closedJobsAcceptedBefore(clock.wall() - keep);
    if (jobs.length === 0) return;
    const forgotten = await log.propose(bulkSection.name, {
      ...{ kind: "forget", jobs },
    }, { deadline: clock.deadlineIn(FORGET_TIMEOUT_MILLISECONDS) });
    if (forgotten.isErr()) return;
    for (const job of jobs) items.forget(job);
    events.emit(jobsForgotten, { jobs: jobs.length });
  }
}
