import { randomUUID } from "node:crypto";
import { err, ok } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { LeavingEngines, ListedEngine } from "../placement/mod.ts";
import type { IRpcClient, IRpcServer, PeerAddress } from "../rpc/mod.ts";
import { remoteRunEnded, reportOutOfOrder, stopUnanswered } from "./events.ts";
import {
  AnswerBounds,
  ExcessiveAnswerError,
  type IItemExecutor,
  type IItemRun,
  type ItemOutcome,
} from "./item_run.ts";
import {
  type ReportAnswer,
  reportRunsMethod,
  type RunDelta,
  runItemMethod,
  stopItemMethod,
} from "./messages.ts";
import { RemoteProgress } from "./remote_progress.ts";

/**
 * Number of local runs at which a leader without entries would start to use
 * other stores. Placing the requests of an entry takes a leader about as much
 * processor time as the events of a run, so each entry counts as one.
 */
const LOCAL_RUN_THRESHOLD = 48;

/** Longest time of a run at another store, in milliseconds. */
const RUN_TIMEOUT_MILLISECONDS = 120_000;

/** Interval at which the order to stop a run is repeated, in milliseconds. */
const STOP_INTERVAL_MILLISECONDS = 250;

/** Time without a report on it after which a run is abandoned, in ms. */
const REPORT_TIMEOUT_MILLISECONDS = 1_500;

/** Time for which a store gets no runs after one has failed there, in ms. */
const AVOIDANCE_MILLISECONDS = 2_000;

/** Interval between two checks for silent stores, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MILLISECONDS = 250;

interface IRemoteRun {
  readonly id: string;
  readonly store: string;
  readonly item: string;
  readonly progress: RemoteProgress;
  /** Is aborted when the run is to stop. */
  readonly signal: AbortSignal;
  lastReportAt: Deadline;
  readonly abandon: () => void;
}

/** Dependencies of a `StoreExecutor`. */
export interface IStoreExecutorOptions {
  readonly local: IItemExecutor;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  readonly events: IEventLog;
  /** Term in which this store is the leader. */
  readonly term: number;
  readonly leaving: Pick<LeavingEngines, "announce">;
  /** Other stores that were reachable recently. */
  readonly stores: () => readonly PeerAddress[];
  /** Number of entries whose requests this store places. */
  readonly entryCount: () => number;
}

/**
 * Runs a limited number of items on this store and the rest on other stores if
 * any are available, so that the leader stays quick to place live requests.
 */
export class StoreExecutor implements IItemExecutor, IDisposable {
  #options: IStoreExecutorOptions;
  #disposables = new DisposableStore();
  #remoteRuns = new Map<string, IRemoteRun>();
  #localRuns = 0;
  #stopping = new AbortController();
  /** Times until which stores get no runs after a failed run, by store. */
  #avoidedUntil = new Map<string, Deadline>();

  constructor(options: IStoreExecutorOptions) {
    this.#options = options;
    this.#disposables.add(
      options.server.handle(reportRunsMethod, ({ store, deltas }) => {
        if (this.#stopping.signal.aborted) {
          return Promise.resolve(err(notRun("not-leader", "not the leader")));
        }
        const runs = this.#applyReport(store, deltas);
        return Promise.resolve(ok({ term: options.term, runs }));
      }),
    );
    void this.#abandonSilentRuns();
  }

  async run(engine: ListedEngine, run: IItemRun): Promise<ItemOutcome> {
    const localLoad = this.#localRuns + this.#options.entryCount();
    const store = localLoad < LOCAL_RUN_THRESHOLD
      ? undefined
      : this.#leastLoadedStore();
    if (store) return await this.#runRemotely(store, engine, run);
    this.#localRuns += 1;
    try {
      return await this.#options.local.run(engine, run);
    } finally {
      this.#localRuns -= 1;
    }
  }

  dispose(): void {
    this.#stopping.abort();
    this.#disposables.dispose();
    for (const { abandon } of [...this.#remoteRuns.values()]) abandon();
  }

  async #runRemotely(
    store: PeerAddress,
    engine: ListedEngine,
    run: IItemRun,
  ): Promise<ItemOutcome> {
    const { rpc, clock, term } = this.#options;
    const id = randomUUID();
    const { item, host, progress, signal } = run;
    run.onHosted?.(store.id);
    const stop = () => void this.#stopRemotely(id, store, run);
    signal.addEventListener("abort", stop, { once: true });
    let abandon = () => {};
    const abandoned = new Promise<undefined>((resolve) => {
      abandon = () => resolve(undefined);
    });
    const received = new RemoteProgress(progress);
    const remote: IRemoteRun = {
      ...{ id, store: store.id, item: item.id, progress: received },
      ...{ signal, abandon, lastReportAt: clock.monotonic() },
    };
    this.#remoteRuns.set(id, remote);
    const { lastEventId } = progress;
    const { stored } = item;
    const params = {
      ...{ run: id, term, engine, host, lastEventId },
      item: stored ? { id: item.id, job: stored.job } : item,
    };
    const call = rpc.call(store, runItemMethod, params, {
      deadline: clock.deadlineIn(RUN_TIMEOUT_MILLISECONDS),
    });
    const answer = await Promise.race([call, abandoned]);
    this.#remoteRuns.delete(id);
    signal.removeEventListener("abort", stop);
    if (!answer || answer.isErr()) {
      this.#avoid(store);
      const reason = answer?.error.message ?? `no report from ${store.id}`;
      return { kind: "abandoned", reason };
    }
    const { outcome, delta, isEngineLeaving } = answer.value;
    if (outcome.kind === "abandoned") this.#avoid(store);
    if (isEngineLeaving) this.#options.leaving.announce(engine.id, "store");
    this.#addDelta(remote, delta);
    this.#options.events.emit(remoteRunEnded, {
      ...{ request: item.id, run: id, store: store.id },
      outcome: outcome.kind,
      heldLines: received.heldLines,
      receivedLines: delta.from + delta.data.length,
    });
    if (outcome.kind === "complete" && !received.includes(delta)) {
      // The next run resumes after the last event that is held.
      const reason = `data of the run at ${store.id} was lost on the way`;
      return { kind: "abandoned", reason };
    }
    // The other store does not know the data of earlier runs.
    if (new AnswerBounds(item, progress.data).isExceeded) {
      const reason = new ExcessiveAnswerError().message;
      return { kind: "broken", reason, isExcessive: true };
    }
    return outcome;
  }

  /** Adds reported data; returns what this store holds of the known runs. */
  #applyReport(
    store: string,
    deltas: readonly RunDelta[],
  ): NonNullable<ReportAnswer["runs"]> {
    const now = this.#options.clock.monotonic();
    return deltas.flatMap((delta) => {
      const remote = this.#remoteRuns.get(delta.run);
      if (remote?.store !== store) return [];
      remote.lastReportAt = now;
      this.#addDelta(remote, delta);
      const { id, progress, signal } = remote;
      const { heldLines } = progress;
      return [{ run: id, heldLines, isWanted: !signal.aborted }];
    });
  }

  /**
   * Orders a store to stop a run until the run has ended. An order may be lost
   * or overtake the one that begins the run.
   */
  async #stopRemotely(
    id: string,
    store: PeerAddress,
    { item }: IItemRun,
  ): Promise<void> {
    const { rpc, clock, events } = this.#options;
    let isLogged = false;
    while (this.#remoteRuns.has(id)) {
      const deadline = clock.deadlineIn(STOP_INTERVAL_MILLISECONDS);
      const answer = await rpc.call(store, stopItemMethod, { run: id }, {
        deadline,
      });
      if (answer.isErr() && !isLogged) {
        isLogged = true;
        const reason = answer.error.message;
        events.emit(stopUnanswered, {
          ...{ request: item.id, run: id, store: store.id, reason },
        });
      }
      await clock.sleepUntil(deadline);
    }
  }

  #addDelta(remote: IRemoteRun, delta: RunDelta): void {
    const { id, store, item, progress } = remote;
    const { from, data } = delta;
    const { heldLines } = progress;
    if (from !== heldLines && data.length > 0) {
      this.#options.events.emit(reportOutOfOrder, {
        ...{ request: item, run: id, store, from, heldLines },
        lines: data.length,
      });
    }
    progress.add(delta);
  }

  /** Abandons runs that their stores no longer report. */
  async #abandonSilentRuns(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleepUntil(
        clock.deadlineIn(SILENCE_CHECK_INTERVAL_MILLISECONDS),
        signal,
      );
      const earliest = clock.monotonic() - REPORT_TIMEOUT_MILLISECONDS;
      for (
        const { lastReportAt, abandon } of [
          ...this.#remoteRuns.values(),
        ]
      ) {
        if (lastReportAt < earliest) abandon();
      }
    }
  }

  #avoid({ id }: PeerAddress): void {
    const until = this.#options.clock.deadlineIn(AVOIDANCE_MILLISECONDS);
    this.#avoidedUntil.set(id, until);
  }

  #leastLoadedStore(): PeerAddress | undefined {
    const counts = new Map<string, number>();
    for (const { store } of this.#remoteRuns.values()) {
      counts.set(store, (counts.get(store) ?? 0) + 1);
    }
    const runCount = (peer: PeerAddress) => counts.get(peer.id) ?? 0;
    const { clock, stores } = this.#options;
    return stores()
      .filter(({ id }) => {
        const until = this.#avoidedUntil.get(id);
        return until === undefined || clock.isPast(until);
      })
      .sort((a, b) => runCount(a) - runCount(b))[0];
  }
}
