import { randomUUID } from "node:crypto";
import { err, ok } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import type { IRpcClient, IRpcServer, PeerAddress } from "../rpc/mod.ts";
import type { IItemExecutor, IItemRun, ItemOutcome } from "./item_run.ts";
import {
  reportRunsMethod,
  type RunDelta,
  runItemMethod,
  stopItemMethod,
} from "./messages.ts";

/** Runs that the leader keeps for itself before it uses other stores. */
const OWN_RUNS = 48;

/** Longest time of a run at another store, in milliseconds. */
const RUN_TIMEOUT_MILLISECONDS = 120_000;

/** Longest wait for the answer to an order to stop, in milliseconds. */
const STOP_TIMEOUT_MILLISECONDS = 1_000;

/** Silence of a store after which its runs are given up, in milliseconds. */
const SILENCE_MILLISECONDS = 1_500;

/** Time for which a store that gave up a run gets no other, in ms. */
const AVOIDANCE_MILLISECONDS = 2_000;

/** Pause between two looks for silent stores, in milliseconds. */
const REVIEW_MILLISECONDS = 250;

interface IRemoteRun {
  readonly store: string;
  readonly run: IItemRun;
  /** Events that the item had before the run. */
  readonly base: number;
  heardAt: Deadline;
  readonly abandon: () => void;
}

/** Collaborators of a `StoreExecutor`. */
export interface IStoreExecutorParts {
  readonly local: IItemExecutor;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  /** Term in which this store leads. */
  readonly term: number;
  /** Other stores that were heard lately. */
  readonly stores: () => readonly PeerAddress[];
}

/**
 * Runs items from this store while they are few, and from other stores
 * beyond that, so that the leader stays quick to place live requests.
 */
export class StoreExecutor implements IItemExecutor, IDisposable {
  #parts: IStoreExecutorParts;
  #store = new DisposableStore();
  #remote = new Map<string, IRemoteRun>();
  #own = 0;
  #stopping = new AbortController();
  /** Stores that gave up a run lately, and until when they get none. */
  #avoided = new Map<string, Deadline>();

  constructor(parts: IStoreExecutorParts) {
    this.#parts = parts;
    this.#store.add(
      parts.server.handle(reportRunsMethod, ({ store, deltas }) => {
        if (this.#stopping.signal.aborted) {
          return Promise.resolve(err(notRun("not-leader", "does not lead")));
        }
        this.#hear(store, deltas);
        return Promise.resolve(ok({}));
      }),
    );
    void this.#watch();
  }

  async run(engine: ListedEngine, run: IItemRun): Promise<ItemOutcome> {
    const store = this.#own < OWN_RUNS ? undefined : this.#leastBusy();
    if (store) return await this.#runAt(store, engine, run);
    this.#own += 1;
    try {
      return await this.#parts.local.run(engine, run);
    } finally {
      this.#own -= 1;
    }
  }

  dispose(): void {
    this.#stopping.abort();
    this.#store.dispose();
    for (const { abandon } of [...this.#remote.values()]) abandon();
  }

  async #runAt(
    store: PeerAddress,
    engine: ListedEngine,
    run: IItemRun,
  ): Promise<ItemOutcome> {
    const { rpc, clock, term } = this.#parts;
    const id = randomUUID();
    const { item, host, progress, signal } = run;
    const base = progress.data.length;
    const stop = () =>
      void rpc.call(store, stopItemMethod, { run: id }, {
        deadline: clock.deadlineIn(STOP_TIMEOUT_MILLISECONDS),
      });
    signal.addEventListener("abort", stop, { once: true });
    const abandoned = new Promise<undefined>((resolve) => {
      this.#remote.set(id, {
        ...{ store: store.id, run, base },
        heardAt: clock.monotonic(),
        abandon: () => resolve(undefined),
      });
    });
    const { lastEventId } = progress;
    const params = { run: id, term, engine, host, item, lastEventId };
    const call = rpc.call(store, runItemMethod, params, {
      deadline: clock.deadlineIn(RUN_TIMEOUT_MILLISECONDS),
    });
    const answer = await Promise.race([call, abandoned]);
    const remote = this.#remote.get(id);
    this.#remote.delete(id);
    signal.removeEventListener("abort", stop);
    if (!answer || answer.isErr()) {
      this.#avoided.set(store.id, clock.deadlineIn(AVOIDANCE_MILLISECONDS));
      const reason = answer?.error.message ?? `${store.id} is silent`;
      return { kind: "abandoned", reason };
    }
    const { outcome, delta } = answer.value;
    if (remote) takeIn(remote, delta);
    return outcome;
  }

  #hear(store: string, deltas: readonly RunDelta[]): void {
    const now = this.#parts.clock.monotonic();
    for (const remote of this.#remote.values()) {
      if (remote.store === store) remote.heardAt = now;
    }
    for (const delta of deltas) {
      const remote = this.#remote.get(delta.run);
      if (remote) takeIn(remote, delta);
    }
  }

  /** Gives up the runs of silent stores. */
  async #watch(): Promise<void> {
    const { clock } = this.#parts;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.deadlineIn(REVIEW_MILLISECONDS), signal);
      const earliest = clock.monotonic() - SILENCE_MILLISECONDS;
      for (const { heardAt, abandon } of [...this.#remote.values()]) {
        if (heardAt < earliest) abandon();
      }
    }
  }

  #leastBusy(): PeerAddress | undefined {
    const counts = new Map<string, number>();
    for (const { store } of this.#remote.values()) {
      counts.set(store, (counts.get(store) ?? 0) + 1);
    }
    const busy = (peer: PeerAddress) => counts.get(peer.id) ?? 0;
    const { clock, stores } = this.#parts;
    return stores()
      .filter(({ id }) => {
        const until = this.#avoided.get(id);
        return until === undefined || clock.isPast(until);
      })
      .sort((a, b) => busy(a) - busy(b))[0];
  }
}

/** Takes in what a run has received; the same twice changes nothing. */
function takeIn({ run, base }: IRemoteRun, delta: RunDelta): void {
  const { progress } = run;
  const { from, data, lastEventId } = delta;
  if (base + from > progress.data.length) return;
  progress.data.splice(base + from, Number.POSITIVE_INFINITY, ...data);
  progress.lastEventId = lastEventId ?? progress.lastEventId;
}
