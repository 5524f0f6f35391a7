import { match } from "ts-pattern";
import type { IItemRateLimiter } from "../admission/mod.ts";
import type { IClock, IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type {
  EngineHealth,
  IPreemptingLoad,
  ListedEngine,
} from "../placement/mod.ts";
import type { Route, RouteTable } from "../service_routes/mod.ts";
import {
  type IBulkEngine,
  type IMemoryUse,
  itemsBeyondMemory,
  largestWithin,
  missingSlots,
  planBulk,
  startableWithinMemory,
} from "./bulk_schedule.ts";
import type { BulkSection } from "./bulk_section.ts";
import { EngineVersions } from "./engine_versions.ts";
import {
  itemFailed,
  itemRecorded,
  itemRestarted,
  itemStarted,
  itemYielded,
  runnerStarted,
  runnerStopped,
} from "./events.ts";
import type { IItemExecutor, ItemOutcome } from "./item_run.ts";
import { assignItems } from "./item_assignment.ts";
import { ItemEligibility } from "./item_eligibility.ts";
import { JobExpiry } from "./job_expiry.ts";
import { bulkSection } from "./messages.ts";
import { type IPendingItem, PendingItems } from "./pending_items.ts";
import { ProgressWriter } from "./progress_writer.ts";
import type { BulkResult, HeldJob } from "./types.ts";

/** Interval between two plans, in milliseconds. */
const PLAN_INTERVAL_MILLISECONDS = 25;

/** Time between two plans as a multiple of a plan's, for other work. */
const PLAN_PAUSE_FACTOR = 4;

/**
 * Upper bound of that time, in milliseconds. A plan seems to take long if the
 * process is frozen meanwhile.
 */
const MAXIMUM_PLAN_PAUSE_MILLISECONDS = 500;

/** Delay before an item is retried after a failed run, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 200;

/**
 * Upper bound of that delay, which doubles with each run in a row that an
 * engine broke off, in milliseconds.
 */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 5_000;

/** Longest wait for the commit of a result, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 3_000;

/** Time within which results are due if the route does not set it, in ms. */
const DEFAULT_RESULT_MILLISECONDS = 60_000;

/** Longest wait for an engine that can resume an item, in milliseconds. */
const VERSION_WAIT_MILLISECONDS = 5_000;

/** An engine with its live load, without that of the items. */
export interface IRunnerEngine
  extends Omit<IBulkEngine, "bulk" | "startable">, IMemoryUse {}

/** Dependencies of a `BulkRunner`. */
export interface IBulkRunnerOptions {
  readonly log: IReplicatedLog;
  readonly section: BulkSection;
  readonly executor: IItemExecutor;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly health: EngineHealth;
  readonly routes: () => RouteTable | undefined;
  /** Time from the submission for which results can be read, in ms. */
  readonly jobRetentionMilliseconds: number;
  /** Whether a new leader knows the live load; no item starts before. */
  readonly isLoadKnown: () => boolean;
  /** Engines with their live load. */
  readonly engines: () => readonly IRunnerEngine[];
  readonly limiter: IItemRateLimiter;
}

/** Runs the items of all open jobs while this store is the leader. */
export class BulkRunner implements IDisposable {
  #options: IBulkRunnerOptions;
  #items: PendingItems;
  #writer: ProgressWriter;
  #expiry: JobExpiry;
  #subscription: IDisposable;
  #stopping = new AbortController();
  #isStopped = false;

  constructor(options: IBulkRunnerOptions) {
    const { log, section, clock } = options;
    this.#options = options;
    this.#items = new PendingItems(section, clock);
    this.#writer = new ProgressWriter(log, this.#items, { clock });
    this.#expiry = new JobExpiry({
      ...options,
      items: this.#items,
      giveUp: (pending, reason) =>
        void this.#recordResult(pending, "dead", reason),
    });
    this.#subscription = section.onChanged((job) => this.#onJobChanged(job));
  }

  start(): void {
    const { section, events } = this.#options;
    const open = section.openJobs();
    events.emit(runnerStarted, { openJobs: open.length });
    for (const held of open) this.#addJob(held);
    this.#writer.start();
    void this.#run();
    this.#expiry.start();
  }

  dispose(): void {
    this.#isStopped = true;
    this.#stopping.abort();
    this.#subscription.dispose();
    this.#writer.dispose();
    this.#expiry.dispose();
    const running = [...this.#items.all].filter(({ activeRun }) => activeRun);
    for (const pending of running) this.#items.stop(pending);
    this.#options.events.emit(runnerStopped, { running: running.length });
  }

  /** Number of running items by engine. */
  get load(): ReadonlyMap<string, number> {
    return this.#items.load;
  }

  /** Runs by engine that were told to stop in vain and may hold slots. */
  overdueStops(): ReadonlyMap<string, number> {
    return this.#items.overdueStops();
  }

  /** Preempts items at an engine that has more requests than slots. */
  preemptBatchItems(load: IPreemptingLoad): void {
    const { id } = load.engine;
    const bulk = this.load.get(id) ?? 0;
    if (bulk === 0) return;
    const wall = this.#options.clock.wall();
    const itemTokens = load.memoryTokens === undefined
      ? []
      : this.#items.runningAt(id, wall).map(({ item }) => item.tokens);
    const count = Math.max(
      missingSlots({ ...load, bulk }),
      itemsBeyondMemory(load, itemTokens),
    );
    if (count > 0) this.#preempt(load, count);
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#isStopped) {
      const startedAt = clock.monotonic();
      this.#plan();
      const duration = clock.monotonic() - startedAt;
      const pause = Math.min(
        MAXIMUM_PLAN_PAUSE_MILLISECONDS,
        Math.max(PLAN_INTERVAL_MILLISECONDS, duration * PLAN_PAUSE_FACTOR),
      );
      const next = clock.deadlineIn(pause);
      await clock.sleepUntil(next, this.#stopping.signal);
    }
  }

  /** Starts items in free slots and preempts items at overloaded engines. */
  #plan(): void {
    const { clock, isLoadKnown, limiter } = this.#options;
    if (!isLoadKnown()) return;
    const now = { wall: clock.wall(), monotonic: clock.monotonic() };
    const waiting = this.#items.startable(now);
    const largestFitting = largestWithin(waiting);
    const overdueStops = this.overdueStops();
    const engines = this.#options.engines().map((it) => ({
      ...it,
      live: it.live + (overdueStops.get(it.engine.id) ?? 0),
      bulk: this.load.get(it.engine.id) ?? 0,
      startable: Math.min(
        limiter.startableItems(it.engine.id),
        startableWithinMemory(it, {
          runningTokens: this.#items.tokensAt(it.engine.id),
          largestTokens: largestFitting(it.memoryTokens ?? 0),
        }),
      ),
    }));
    const versions = new EngineVersions(engines);
    for (const item of waiting) {
      item.versionDeadline ??= clock.deadlineIn(VERSION_WAIT_MILLISECONDS);
    }
    const { preemptions, starts } = planBulk(engines, waiting.length);
    const loads = new Map(engines.map((it) => [it.engine.id, it]));
    for (const [engine, count] of preemptions) {
      const load = loads.get(engine);
      if (load) this.#preempt(load, count);
    }
    const eligibility = new ItemEligibility(versions, {
      clock,
      findRoute: ({ job }) => this.#route(job),
    });
    const assignments = assignItems({ starts, engines }, waiting, eligibility);
    for (const { item, engine } of assignments) {
      const live = loads.get(engine.id)?.live ?? 0;
      if (!versions.mayResume(item, engine)) this.#restart(item, engine);
      void this.#start(item, { engine, live });
    }
  }

  #onJobChanged(job: string): void {
    const held = this.#options.section.job(job);
    if (held && !held.hasEnded) this.#addJob(held);
    this.#items.removeFinished(job);
  }

  #addJob(held: HeldJob): void {
    const route = this.#route(held);
    const due = route?.resultMilliseconds ?? DEFAULT_RESULT_MILLISECONDS;
    this.#items.addJob(held, held.acceptedAt + due);
  }

  #route(held: HeldJob): Route | undefined {
    return this.#options.routes()?.find(held.job.host, held.job.path);
  }

  #preempt(load: { engine: ListedEngine; live: number }, count: number): void {
    const { clock, events } = this.#options;
    const { id } = load.engine;
    const running = this.#items.runningAt(id, clock.wall());
    for (const pending of running.slice(0, count)) {
      events.emit(itemYielded, {
        request: pending.item.id,
        job: pending.job.job.id,
        engine: id,
        live: load.live,
        bulk: this.load.get(id) ?? 0,
        lastEventId: pending.progress.lastEventId,
        store: pending.activeRun?.store,
      });
      this.#items.stop(pending);
    }
  }

  /** Discards the progress of an item that no engine of its version can run. */
  #restart(pending: IPendingItem, engine: ListedEngine): void {
    this.#options.events.emit(itemRestarted, {
      request: pending.item.id,
      job: pending.job.job.id,
      from: pending.softwareVersion,
      to: engine.softwareVersion,
      events: pending.progress.data.length,
    });
    this.#items.discardProgress(pending);
  }

  async #start(
    pending: IPendingItem,
    load: { engine: ListedEngine; live: number },
  ): Promise<void> {
    const { executor, clock, events, limiter } = this.#options;
    const { item, job } = pending;
    const { engine, live } = load;
    limiter.takeForItem(engine.id);
    pending.softwareVersion = engine.softwareVersion;
    pending.versionDeadline = undefined;
    const { progress } = pending;
    const activeRun = this.#items.begin(pending, engine.id);
    const startedAt = clock.monotonic();
    const eventsBefore = progress.data.length;
    const running = executor.run(engine, {
      ...{ item, host: job.job.host, progress },
      signal: activeRun.abort.signal,
      onHosted: (store) => activeRun.store = store,
    });
    events.emit(itemStarted, {
      request: item.id,
      job: job.job.id,
      engine: engine.id,
      live,
      bulk: this.load.get(engine.id) ?? 0,
      softwareVersion: engine.softwareVersion,
      lastEventId: progress.lastEventId,
      store: activeRun.store,
    });
    const outcome = await running;
    this.#items.end(pending);
    const { estimates } = this.#items;
    estimates.recordRun(
      progress.data.length - eventsBefore,
      clock.monotonic() - startedAt,
    );
    if (outcome.kind === "complete") {
      estimates.recordCompletion(item, progress.data.length);
    }
    if (!this.#isStopped) await this.#applyOutcome(pending, engine.id, outcome);
  }

  async #applyOutcome(
    pending: IPendingItem,
    engine: string,
    outcome: ItemOutcome,
  ): Promise<void> {
    const { health, clock } = this.#options;
    const isBrokenOff = outcome.kind === "broken" && outcome.isBrokenOff;
    pending.breaks = isBrokenOff ? pending.breaks + 1 : 0;
    await match(outcome)
      .with({ kind: "complete" }, () => {
        health.recordSuccess(engine);
        return this.#recordResult(pending, "done", "complete");
      })
      .with(
        { kind: "impossible" },
        () => this.#recordResult(pending, "dead", "the engine answered 422"),
      )
      .with({ kind: "failed" }, async ({ reason }) => {
        pending.failures += 1;
        this.#reportFailure(pending, engine, reason);
        const attempts = this.#route(pending.job)?.attempts ?? 1;
        if (pending.failures < attempts) return;
        const cause = `${pending.failures} failures`;
        await this.#recordResult(pending, "dead", cause);
      })
      .with({ kind: "turned-away" }, ({ reason }) => {
        this.#reportFailure(pending, engine, reason);
      })
      .with({ kind: "broken" }, ({ reason, isExcessive }) => {
        // Nothing in an answer that never ends is known to be the item's.
        if (isExcessive) this.#items.discardProgress(pending);
        health.recordFailure(engine, reason);
        this.#reportFailure(pending, engine, reason);
      })
      .with({ kind: "abandoned" }, ({ reason }) => {
        this.#reportFailure(pending, engine, reason);
      })
      .with({ kind: "stopped" }, () => undefined)
      .exhaustive();
    if (outcome.kind === "stopped" || outcome.kind === "abandoned") return;
    const delay = Math.min(
      RETRY_DELAY_MILLISECONDS * 2 ** Math.max(0, pending.breaks - 1),
      MAXIMUM_RETRY_DELAY_MILLISECONDS,
    );
    pending.notBefore = clock.monotonic() + delay;
  }

  #reportFailure(pending: IPendingItem, engine: string, reason: string): void {
    this.#options.events.emit(itemFailed, {
      request: pending.item.id,
      job: pending.job.job.id,
      engine,
      reason,
      failures: pending.failures,
    });
  }

  async #recordResult(
    pending: IPendingItem,
    state: BulkResult["state"],
    reason: string,
  ): Promise<void> {
    const { log, clock, events } = this.#options;
    const { item, job, progress } = pending;
    pending.isRecording = true;
    this.#items.stop(pending);
    // Data that is already in the log as progress is not sent again.
    const from = state === "done" ? pending.writtenEvents : 0;
    const data = state === "done" ? progress.data.slice(from) : [];
    const recorded = await log.propose(bulkSection.name, {
      ...{ kind: "record", job: job.job.id, item: item.id },
      ...{ state, from, data },
    }, { deadline: clock.deadlineIn(RECORD_TIMEOUT_MILLISECONDS) });
    pending.isRecording = false;
    if (recorded.isErr()) {
      return this.#reportFailure(pending, "", recorded.error.message);
    }
    if (!bulkSection.output.parse(recorded.value).isKnown) {
      pending.writtenEvents = 0;
      return this.#reportFailure(pending, "", "earlier progress is missing");
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
