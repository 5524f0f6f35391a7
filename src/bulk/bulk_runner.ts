import { match } from "ts-pattern";
import type { IClock, IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { EngineHealth, ListedEngine } from "../placement/mod.ts";
import type { RouteTable } from "../service_routes/mod.ts";
import type { IEngineCaller } from "../streams/mod.ts";
import { type IBulkEngine, planBulk, rankItems } from "./bulk_schedule.ts";
import { ItemEstimates } from "./item_estimates.ts";
import type { BulkSection } from "./bulk_section.ts";
import {
  itemFailed,
  itemRecorded,
  itemStarted,
  itemYielded,
  runnerStarted,
  runnerStopped,
} from "./events.ts";
import { type IItemProgress, type ItemOutcome, runItem } from "./item_run.ts";
import { bulkSection, type ProgressDelta } from "./messages.ts";
import type { BulkItem, BulkResult, HeldJob } from "./types.ts";

/** Pause between two plans, in milliseconds. */
const PLAN_PAUSE_MILLISECONDS = 25;

/** Pause of an item after a failed run, in milliseconds. */
const FAILURE_PAUSE_MILLISECONDS = 200;

/** Longest wait for the commit of a result, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 3_000;

/** Pause between two writes of the progress of items, in milliseconds. */
const PROGRESS_PAUSE_MILLISECONDS = 1_000;

/**
 * Time beyond its retention for which an item is kept. Clocks of stores may
 * differ and jump by seconds.
 */
const RETENTION_MARGIN_MILLISECONDS = 10_000;

/** Time in which results are due where the route does not say, in ms. */
const DEFAULT_DUE_MILLISECONDS = 60_000;

/** Collaborators of a `BulkRunner`. */
export interface IRunnerParts {
  readonly log: IReplicatedLog;
  readonly section: BulkSection;
  readonly caller: IEngineCaller;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly health: EngineHealth;
  readonly routes: () => RouteTable | undefined;
  /** Engines of a service with their live load. */
  readonly engines: () => readonly (Omit<IBulkEngine, "bulk">)[];
}

/** An item that has no result yet. */
interface IPendingItem {
  readonly item: BulkItem;
  readonly job: HeldJob;
  readonly progress: IItemProgress;
  /** Wall time by which the result is due. */
  readonly dueAt: number;
  failures: number;
  notBefore: number;
  running: { engine: string; abort: AbortController } | undefined;
  isRecording: boolean;
  /** Events whose data is in the log. */
  writtenEvents: number;
}

/** Runs the items of all open jobs, while this store leads. */
export class BulkRunner implements IDisposable {
  #parts: IRunnerParts;
  #items = new Map<string, IPendingItem>();
  #knownJobs = new Set<string>();
  #estimates = new ItemEstimates();
  #stopping = new AbortController();

  constructor(parts: IRunnerParts) {
    this.#parts = parts;
  }

  start(): void {
    const { section, events } = this.#parts;
    events.emit(runnerStarted, { openJobs: section.openJobs().length });
    void this.#run();
    void this.#writeProgress();
  }

  dispose(): void {
    this.#stopping.abort();
    const running = [...this.#items.values()].filter((it) => it.running);
    for (const { running: run } of running) run?.abort.abort();
    this.#parts.events.emit(runnerStopped, { running: running.length });
  }

  /** Items that run at each engine. */
  load(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { running } of this.#items.values()) {
      if (!running) continue;
      counts.set(running.engine, (counts.get(running.engine) ?? 0) + 1);
    }
    return counts;
  }

  /** Makes room and fills free places by the present load. */
  plan(): void {
    if (this.#stopping.signal.aborted) return;
    this.#takeJobs();
    const now = this.#parts.clock.monotonic();
    const waiting = this.#ranked(
      [...this.#items.values()].filter((it) =>
        !it.running && !it.isRecording && it.notBefore <= now
      ),
    );
    const load = this.load();
    const engines = this.#parts.engines().map((it) => ({
      ...it,
      bulk: load.get(it.engine.id) ?? 0,
    }));
    const { yields, starts } = planBulk(engines, waiting.length);
    for (const [engine, count] of yields) this.#yield(engine, count, engines);
    for (const engine of starts) {
      const position = waiting.findIndex((it) => this.#mayRun(it, engine));
      const [item] = position === -1 ? [] : waiting.splice(position, 1);
      if (item) void this.#start(item, engine, engines);
    }
  }

  /** Items in the order in which they should run. */
  #ranked(items: readonly IPendingItem[]): IPendingItem[] {
    const ranked = items.map((pending) => ({
      pending,
      dueAt: pending.dueAt,
      remainingMilliseconds: this.#estimates.remaining(
        pending.item,
        pending.progress.data.length,
      ),
    }));
    const now = this.#parts.clock.wall();
    return rankItems(ranked, now).map(({ pending }) => pending);
  }

  async #run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopping.signal.aborted) {
      this.plan();
      const next = clock.deadlineIn(PLAN_PAUSE_MILLISECONDS);
      await clock.sleepUntil(next, this.#stopping.signal);
    }
  }

  /** Writes how far items have come, so that the next leader goes on there. */
  async #writeProgress(): Promise<void> {
    const { clock, log } = this.#parts;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = clock.deadlineIn(PROGRESS_PAUSE_MILLISECONDS);
      await clock.sleepUntil(next, signal);
      if (signal.aborted) return;
      const advanced = [...this.#items.values()].filter((it) =>
        !it.isRecording && it.progress.data.length > it.writtenEvents
      );
      if (advanced.length === 0) continue;
      const deltas = advanced.map(deltaOf);
      const written = await log.propose(bulkSection.name, {
        kind: "progress",
        deltas,
      }, { deadline: clock.deadlineIn(RECORD_TIMEOUT_MILLISECONDS) });
      if (written.isErr()) continue;
      advanced.forEach((pending, position) => {
        const { from, data } = deltas[position] as ProgressDelta;
        pending.writtenEvents = from + data.length;
      });
    }
  }

  /** Takes in new jobs, and drops items that need no run any more. */
  #takeJobs(): void {
    const { section, clock } = this.#parts;
    for (const held of section.openJobs()) {
      if (this.#knownJobs.has(held.job.id)) continue;
      this.#knownJobs.add(held.job.id);
      for (const item of held.job.items) this.#take(held, item);
    }
    for (const [key, pending] of this.#items) {
      const { job, item } = pending;
      const isListed = section.isListed(job.job.id, item.id);
      if (isListed || job.hasEnded) {
        pending.running?.abort.abort();
        this.#items.delete(key);
      } else if (clock.wall() > this.#expiry(job) && !pending.isRecording) {
        void this.#record(pending, "dead", "its retention has passed");
      }
    }
  }

  #take(held: HeldJob, item: BulkItem): void {
    const { section } = this.#parts;
    if (section.isListed(held.job.id, item.id)) return;
    const route = this.#route(held);
    const written = section.progress(held.job.id, item.id);
    const due = route?.resultMilliseconds ?? DEFAULT_DUE_MILLISECONDS;
    this.#items.set(`${held.job.id}/${item.id}`, {
      item,
      job: held,
      progress: {
        data: [...(written?.data ?? [])],
        lastEventId: written?.lastEventId,
      },
      writtenEvents: written?.data.length ?? 0,
      dueAt: held.acceptedAt + due,
      failures: 0,
      notBefore: 0,
      running: undefined,
      isRecording: false,
    });
  }

  #route(held: HeldJob) {
    return this.#parts.routes()?.find(held.job.host, held.job.path);
  }

  #expiry(held: HeldJob): number {
    const retention = this.#route(held)?.retentionMilliseconds;
    if (retention === undefined) return Number.POSITIVE_INFINITY;
    return held.acceptedAt + retention + RETENTION_MARGIN_MILLISECONDS;
  }

  #mayRun({ job }: IPendingItem, engine: ListedEngine): boolean {
    const route = this.#route(job);
    return route?.shares.some(({ service, weight }) =>
      service === engine.service && weight > 0
    ) ?? false;
  }

  #yield(
    engine: string,
    count: number,
    engines: readonly IBulkEngine[],
  ): void {
    // The run that matters least gives way.
    const running = this.#ranked(
      [...this.#items.values()].filter((it) => it.running?.engine === engine),
    ).reverse();
    const load = engines.find((it) => it.engine.id === engine);
    for (const pending of running.slice(0, count)) {
      pending.running?.abort.abort();
      this.#parts.events.emit(itemYielded, {
        request: pending.item.id,
        job: pending.job.job.id,
        engine,
        live: load?.live ?? 0,
        bulk: load?.bulk ?? 0,
        lastEventId: pending.progress.lastEventId,
      });
    }
  }

  async #start(
    pending: IPendingItem,
    engine: ListedEngine,
    engines: readonly IBulkEngine[],
  ): Promise<void> {
    const { caller, clock, events } = this.#parts;
    const { item, job, progress } = pending;
    const load = engines.find((it) => it.engine.id === engine.id);
    const abort = new AbortController();
    const startedAt = clock.monotonic();
    const eventsBefore = progress.data.length;
    pending.running = { engine: engine.id, abort };
    events.emit(itemStarted, {
      request: item.id,
      job: job.job.id,
      engine: engine.id,
      live: load?.live ?? 0,
      bulk: load?.bulk ?? 0,
      lastEventId: progress.lastEventId,
    });
    const outcome = await runItem(caller, engine, {
      item,
      host: job.job.host,
      progress,
      signal: abort.signal,
      clock,
    });
    pending.running = undefined;
    this.#estimates.ran(
      progress.data.length - eventsBefore,
      clock.monotonic() - startedAt,
    );
    if (outcome.kind === "complete") {
      this.#estimates.completed(item, progress.data.length);
    }
    if (this.#stopping.signal.aborted) return;
    await this.#review(pending, engine.id, outcome);
  }

  async #review(
    pending: IPendingItem,
    engine: string,
    outcome: ItemOutcome,
  ): Promise<void> {
    const { health, clock } = this.#parts;
    await match(outcome)
      .with({ kind: "complete" }, () => {
        health.answered(engine);
        return this.#record(pending, "done", "complete");
      })
      .with(
        { kind: "impossible" },
        () => this.#record(pending, "dead", "the engine answered 422"),
      )
      .with({ kind: "failed" }, async ({ reason }) => {
        pending.failures += 1;
        this.#reportFailure(pending, engine, reason);
        const attempts = this.#route(pending.job)?.attempts ?? 1;
        if (pending.failures < attempts) return;
        await this.#record(pending, "dead", `${pending.failures} failures`);
      })
      .with({ kind: "turned-away" }, ({ reason }) => {
        this.#reportFailure(pending, engine, reason);
      })
      .with({ kind: "broken" }, ({ reason }) => {
        health.failed(engine, reason);
        this.#reportFailure(pending, engine, reason);
      })
      .with({ kind: "stopped" }, () => undefined)
      .exhaustive();
    if (outcome.kind === "stopped") return;
    pending.notBefore = clock.monotonic() + FAILURE_PAUSE_MILLISECONDS;
  }

  #reportFailure(pending: IPendingItem, engine: string, reason: string): void {
    this.#parts.events.emit(itemFailed, {
      request: pending.item.id,
      job: pending.job.job.id,
      engine,
      reason,
      failures: pending.failures,
    });
  }

  async #record(
    pending: IPendingItem,
    state: BulkResult["state"],
    reason: string,
  ): Promise<void> {
    const { log, clock, events } = this.#parts;
    const { item, job, progress } = pending;
    pending.isRecording = true;
    pending.running?.abort.abort();
    const text = state === "done" ? progress.data.join("\n") : "";
    const recorded = await log.propose(bulkSection.name, {
      kind: "record",
      job: job.job.id,
      result: { item: item.id, state, text },
    }, { deadline: clock.deadlineIn(RECORD_TIMEOUT_MILLISECONDS) });
    pending.isRecording = false;
    if (recorded.isErr()) {
      return this.#reportFailure(pending, "", recorded.error.message);
    }
    events.emit(itemRecorded, {
      request: item.id,
      job: job.job.id,
      state,
      reason,
      sinceAcceptedMilliseconds: Math.round(clock.wall() - job.acceptedAt),
    });
  }
}

/** What an item has received since its progress was last written. */
function deltaOf({ job, item, progress, writtenEvents }: IPendingItem) {
  return {
    job: job.job.id,
    item: item.id,
    from: writtenEvents,
    data: progress.data.slice(writtenEvents),
    lastEventId: progress.lastEventId ?? "",
  };
}
