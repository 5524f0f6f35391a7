import type { Deadline, IClock } from "../common/mod.ts";
import type { BulkItem, HeldJob } from "./types.ts";
import { rankItems } from "./bulk_schedule.ts";
import type { BulkSection } from "./bulk_section.ts";
import { ItemEstimates } from "./item_estimates.ts";
import type { IItemProgress } from "./item_run.ts";

/** Time in which a run usually ends after it was told to stop, in ms. */
const STOP_MILLISECONDS = 100;

/** A run of an item at an engine. */
export interface IActiveRun {
  readonly engine: string;
  readonly abort: AbortController;
  /** Store that runs the item, if it is not the leader. */
  store: string | undefined;
  /** Whether the run was told to stop; its slot counts as free. */
  isStopping: boolean;
  /** Time by which the run should have ended; undefined until it is stopped. */
  stopDeadline: Deadline | undefined;
}

/** An item that has no result yet. */
export interface IPendingItem {
  readonly key: string;
  readonly item: BulkItem;
  readonly job: HeldJob;
  progress: IItemProgress;
  /** Software version that made the progress; undefined if it is not known. */
  softwareVersion: string | undefined;
  /** Wall time by which the result is due. */
  readonly dueAt: number;
  /** Number of answers in which an engine reported a failure of the item. */
  failures: number;
  /** Number of runs in a row that engines broke off. */
  breaks: number;
  /** Monotonic time before which the item is not started again. */
  notBefore: number;
  activeRun: IActiveRun | undefined;
  isRecording: boolean;
  /** Time until which the item waits for an engine of its software version. */
  versionDeadline: Deadline | undefined;
  /** Number of events whose data is in the log. */
  writtenEvents: number;
}

/** Items that have no result yet, with their active runs. */
export class PendingItems {
  readonly estimates = new ItemEstimates();
  #section: BulkSection;
  #clock: IClock;
  #items = new Map<string, IPendingItem>();
  #knownJobs = new Set<string>();
  /** Number of running items by engine, without those that are stopping. */
  #load = new Map<string, number>();
  /** Tokens of the same items, by engine. */
  #tokens = new Map<string, number>();

  /** Runs that were told to stop and have not ended yet. */
  #stoppingRuns = new Set<IActiveRun>();

  constructor(section: BulkSection, clock: IClock) {
    this.#section = section;
    this.#clock = clock;
  }

  get all(): IterableIterator<IPendingItem> {
    return this.#items.values();
  }

  /** Number of running items by engine. */
  get load(): ReadonlyMap<string, number> {
    return this.#load;
  }

  /** Tokens that the running items at an engine may fill. */
  tokensAt(engine: string): number {
    return this.#tokens.get(engine) ?? 0;
  }

  /** Adds the items of a job that is not known yet. */
  addJob(held: HeldJob, dueAt: number): void {
    if (this.#knownJobs.has(held.job.id)) return;
    this.#knownJobs.add(held.job.id);
    for (const item of held.job.items) {
      if (this.#section.hasResult(held.job.id, item.id)) continue;
      const written = this.#section.progress(held.job.id, item.id);
      const key = `${held.job.id}/${item.id}`;
      this.#items.set(key, {
        ...{ key, item, job: held, dueAt },
        progress: {
          data: [...(written?.data ?? [])],
          lastEventId: written?.lastEventId,
        },
        softwareVersion: written?.softwareVersion,
        failures: 0,
        breaks: 0,
        notBefore: 0,
        versionDeadline: undefined,
        activeRun: undefined,
        isRecording: false,
        writtenEvents: written?.data.length ?? 0,
      });
    }
  }

  /** Removes items that have a result, or all items of a job that has ended. */
  removeFinished(job: string): void {
    const held = this.#section.job(job);
    for (const item of held?.job.items ?? []) {
      const pending = this.#items.get(`${job}/${item.id}`);
      if (!pending) continue;
      if (held?.hasEnded || this.#section.hasResult(job, item.id)) {
        this.stop(pending);
        this.#items.delete(pending.key);
      }
    }
  }

  /** Forgets a job that the section has deleted. */
  forget(job: string): void {
    this.#knownJobs.delete(job);
  }

  /** Discards the progress of an item, so that its next run starts again. */
  discardProgress(pending: IPendingItem): void {
    pending.progress = { data: [], lastEventId: undefined };
    pending.writtenEvents = 0;
  }

  begin(pending: IPendingItem, engine: string): IActiveRun {
    const abort = new AbortController();
    const activeRun: IActiveRun = {
      ...{ engine, abort, store: undefined },
      ...{ isStopping: false, stopDeadline: undefined },
    };
    pending.activeRun = activeRun;
    this.#load.set(engine, (this.#load.get(engine) ?? 0) + 1);
    const tokens = this.tokensAt(engine) + pending.item.tokens;
    this.#tokens.set(engine, tokens);
    return activeRun;
  }

  /** Stops the run of an item; its slot counts as free from now on. */
  stop({ activeRun, item }: IPendingItem): void {
    if (!activeRun || activeRun.isStopping) return;
    activeRun.isStopping = true;
    activeRun.stopDeadline = this.#clock.deadlineIn(STOP_MILLISECONDS);
    this.#stoppingRuns.add(activeRun);
    this.#release(activeRun.engine, item.tokens);
    activeRun.abort.abort();
  }

  /** Clears the run of an item after it has ended. */
  end(pending: IPendingItem): void {
    const { activeRun, item } = pending;
    if (activeRun && !activeRun.isStopping) {
      this.#release(activeRun.engine, item.tokens);
    }
    if (activeRun) this.#stoppingRuns.delete(activeRun);
    pending.activeRun = undefined;
  }

  /**
   * Number of runs by engine that should have ended, as they were told to stop,
   * but may still hold their slots.
   */
  overdueStops(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { engine, stopDeadline } of this.#stoppingRuns) {
      if (!stopDeadline || !this.#clock.isPast(stopDeadline)) continue;
      counts.set(engine, (counts.get(engine) ?? 0) + 1);
    }
    return counts;
  }

  /** Items that may be started now, highest priority first. */
  startable(now: { wall: number; monotonic: number }): IPendingItem[] {
    const waiting = [...this.#items.values()].filter((it) =>
      !it.activeRun && !it.isRecording && it.notBefore <= now.monotonic
    );
    return this.#ranked(waiting, now.wall);
  }

  /** Items that run at an engine, lowest priority first. */
  runningAt(engine: string, wall: number): IPendingItem[] {
    const running = [...this.#items.values()].filter((
      { activeRun },
    ) => activeRun?.engine === engine && !activeRun.isStopping);
    return this.#ranked(running, wall).reverse();
  }

  #ranked(items: readonly IPendingItem[], wall: number): IPendingItem[] {
    const ranked = items.map((pending) => ({
      pending,
      dueAt: pending.dueAt,
      remainingMilliseconds: this.estimates.remaining(
        pending.item,
        pending.progress.data.length,
      ),
    }));
    return rankItems(ranked, wall).map(({ pending }) => pending);
  }

  #release(engine: string, tokens: number): void {
    const remaining = this.tokensAt(engine) - tokens;
    if (remaining > 0) this.#tokens.set(engine, remaining);
    else this.#tokens.delete(engine);
    const count = (this.#load.get(engine) ?? 0) - 1;
    if (count > 0) this.#load.set(engine, count);
    else this.#load.delete(engine);
  }
}
