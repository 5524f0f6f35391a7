import { randomUUID } from "node:crypto";
import { ok } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  Emitter,
  type IClock,
  type IDisposable,
  type MessageNumber,
  MessageOrder,
} from "../common/mod.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import { reportLiveMethod } from "./messages.ts";
import type {
  IBatchStreams,
  IEngineLoad,
  IEngineLoadView,
  IEngineOwner,
  IEngineOwnership,
  ILiveActivity,
} from "./types.ts";

/** Delay within which changes are combined into one report. */
const COALESCING_MILLISECONDS = 10;

/** Interval between reports to an owner without changes. */
const REPORT_INTERVAL_MILLISECONDS = 250;

/** Added to that interval for each owner, to bound the rate of calls. */
const INTERVAL_PER_OWNER_MILLISECONDS = 10;

/** Timeout of a report. */
const REPORT_TIMEOUT_MILLISECONDS = 500;

/** Age from which a received count is ignored. */
const REPORT_LIFETIME_MILLISECONDS = 3_000;

interface ILiveStreams {
  readonly engineId: string;
  readonly streams: number;
}

interface IReceivedLive {
  streams: number;
  receivedAt: Deadline;
}

interface IReceivedLoad {
  otherLive: number;
  batch: number;
  receivedAt: Deadline;
}

interface IReporterState {
  busy: boolean;
  changed: boolean;
  dueAt: Deadline;
}

/** Dependencies of a `LoadExchange`. */
export interface ILoadExchangeOptions {
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  readonly activity: ILiveActivity;
  readonly batch: IBatchStreams;
}

/**
 * Reports this instance's live streams to the owners of the engines, and
 * receives the totals.
 *
 * Each report has all counts for the owner's engines, so the next report makes
 * up for a lost one.
 */
export class LoadExchange implements IEngineLoadView, IDisposable {
  #ownership: IEngineOwnership;
  #options: ILoadExchangeOptions;
  /** Live streams of other instances, by engine and instance. */
  #receivedLive = new Map<string, Map<string, IReceivedLive>>();
  #receivedLoad = new Map<string, IReceivedLoad>();
  #ownerOf = new Map<string, IEngineOwner>();
  #reporters = new Map<string, IReporterState>();
  readonly #process = randomUUID();
  #sequence = 0;
  #order = new MessageOrder();
  #change = new Emitter<string>();
  /** Fires with an engine's id when its live streams change. */
  readonly onChange = this.#change.event;
  #store = new DisposableStore();
  #timer: NodeJS.Timeout | undefined;
  #timerAt = Number.POSITIVE_INFINITY;

  constructor(ownership: IEngineOwnership, options: ILoadExchangeOptions) {
    this.#ownership = ownership;
    this.#options = options;
    const { activity, server } = options;
    this.#store.add(server.handle(
      reportLiveMethod,
      ({ live, number }, { from }) => {
        this.#recordLive(live, { from, number });
        return Promise.resolve(ok(this.#totals(live, from)));
      },
    ));
    this.#store.add(activity.onChange((id) => this.#handleLiveChange(id)));
    this.#store.add(ownership.onChange(() => this.#indexOwners()));
    this.#store.add({ dispose: () => clearTimeout(this.#timer) });
  }

  loadOf(engineId: string): IEngineLoad {
    const ownLive = this.#options.activity.liveStreams(engineId);
    const now = this.#options.clock.monotonic();
    if (this.#ownership.owned.has(engineId)) {
      const otherLive = this.#liveOfOthers(engineId, "");
      const batch = this.#options.batch.batchStreams(engineId);
      return {
        ownLive,
        otherLive,
        batch,
        receivedAt: now,
        reported: undefined,
      };
    }
    const received = this.#receivedLoad.get(engineId);
    const known = received &&
      now - received.receivedAt < REPORT_LIFETIME_MILLISECONDS;
    return {
      ownLive,
      otherLive: known ? received.otherLive : 0,
      batch: known ? received.batch : 0,
      receivedAt: known ? received.receivedAt : undefined,
      reported: undefined,
    };
  }

  dispose(): void {
    this.#store.dispose();
    this.#change.dispose();
  }

  #recordLive(
    live: readonly ILiveStreams[],
    { from, number }: { from: string; number: MessageNumber | undefined },
  ): void {
    if (number && !this.#order.record(from, number)) return;
    const receivedAt = this.#options.clock.monotonic();
    for (const { engineId, streams } of live) {
      const reports = this.#receivedLive.get(engineId) ??
        new Map<string, IReceivedLive>();
      this.#receivedLive.set(engineId, reports);
      const before = reports.get(from)?.streams ?? 0;
      reports.set(from, { streams, receivedAt });
      if (before !== streams) this.#change.fire(engineId);
    }
  }

  /** The load of these engines without that of the asking instance. */
  #totals(live: readonly ILiveStreams[], from: string) {
    return {
      engines: live.map(({ engineId }) => ({
        engineId,
        otherLive: this.#options.activity.liveStreams(engineId) +
          this.#liveOfOthers(engineId, from),
        batch: this.#options.batch.batchStreams(engineId),
      })),
    };
  }

  #liveOfOthers(engineId: string, except: string): number {
    const reports = this.#receivedLive.get(engineId);
    if (!reports) return 0;
    const now = this.#options.clock.monotonic();
    let sum = 0;
    for (const [id, { streams, receivedAt }] of reports) {
      if (now - receivedAt > REPORT_LIFETIME_MILLISECONDS) reports.delete(id);
      else if (id !== except) sum += streams;
    }
    return sum;
  }

  #handleLiveChange(engineId: string): void {
    if (this.#ownership.owned.has(engineId)) this.#change.fire(engineId);
    const owner = this.#ownerOf.get(engineId);
    const reporter = owner && this.#reporters.get(owner.address.id);
    if (!reporter) return;
    reporter.changed = true;
    this.#scheduleReports();
  }

  #indexOwners(): void {
    this.#ownerOf.clear();
    const reporters = new Map<string, IReporterState>();
    for (const owner of this.#ownership.others) {
      owner.engines.forEach((id) => this.#ownerOf.set(id, owner));
      const { id } = owner.address;
      const dueAt = this.#options.clock.monotonic();
      const known = this.#reporters.get(id);
      reporters.set(id, known ?? { busy: false, changed: true, dueAt });
    }
    this.#reporters = reporters;
    this.#scheduleReports();
  }

  /**
   * Sets one timer for the earliest report, so that an idle process is not
   * woken up before that.
   */
  #scheduleReports(): void {
    const now = this.#options.clock.monotonic();
    let wait = Number.POSITIVE_INFINITY;
    for (const { reporter } of this.#idleReporters()) {
      const due = reporter.changed ? 0 : reporter.dueAt - now;
      wait = Math.min(wait, Math.max(due, COALESCING_MILLISECONDS));
    }
    if (now + wait >= this.#timerAt) return;
    clearTimeout(this.#timer);
    this.#timerAt = now + wait;
    this.#timer = setTimeout(() => this.#reportDue(), wait);
  }

  #reportDue(): void {
    this.#timerAt = Number.POSITIVE_INFINITY;
    for (const { owner, reporter } of this.#idleReporters()) {
      const due = this.#options.clock.isPast(reporter.dueAt);
      if (due || reporter.changed) void this.#report(owner, reporter);
    }
    this.#scheduleReports();
  }

  /** Owners of engines to which no report is in flight. */
  #idleReporters(): { owner: IEngineOwner; reporter: IReporterState }[] {
    return this.#ownership.others.flatMap((owner) => {
      const reporter = this.#reporters.get(owner.address.id);
      const isIdle = reporter && !reporter.busy && owner.engines.length > 0;
      return isIdle ? [{ owner, reporter }] : [];
    });
  }

  async #report(owner: IEngineOwner, reporter: IReporterState): Promise<void> {
    const { clock, rpc, activity } = this.#options;
    reporter.busy = true;
    reporter.changed = false;
    const interval = REPORT_INTERVAL_MILLISECONDS +
      INTERVAL_PER_OWNER_MILLISECONDS * this.#reporters.size;
    reporter.dueAt = clock.deadlineIn(interval);
    const live = owner.engines.map((engineId) => ({
      engineId,
      streams: activity.liveStreams(engineId),
    }));
    this.#sequence += 1;
    const number = { process: this.#process, sequence: this.#sequence };
    const params = { number, live };
    const deadline = clock.deadlineIn(REPORT_TIMEOUT_MILLISECONDS);
    const answer = await rpc.call(owner.address, reportLiveMethod, params, {
      deadline,
    });
    reporter.busy = false;
    this.#scheduleReports();
    if (answer.isErr()) return;
    const receivedAt = clock.monotonic();
    for (const { engineId, otherLive, batch } of answer.value.engines) {
      this.#receivedLoad.set(engineId, {
        otherLive,
        batch,
        receivedAt,
      });
    }
  }
}
