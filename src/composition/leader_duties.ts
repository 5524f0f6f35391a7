import {
  BulkRunner,
  type BulkSection,
  type IItemExecutor,
  StoreExecutor,
} from "../bulk/mod.ts";
import {
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import {
  EngineDirectory,
  EngineHealth,
  type IEngineListSource,
  type IEngineProbe,
  type ILeaderState,
  type LoadLedger,
  LoadReadiness,
} from "../placement/mod.ts";
import type { IRpcClient, IRpcServer, PeerAddress } from "../rpc/mod.ts";
import type { RoutesHolder, RoutesSection } from "../service_routes/mod.ts";

/** Longest wait for all that was acknowledged to be applied, in ms. */
const BARRIER_MILLISECONDS = 1_000;

/** Pause before the next wait after one that failed, in milliseconds. */
const RETRY_MILLISECONDS = 20;

/** Collaborators of `LeaderDuties`. */
export interface ILeaderDutyParts {
  readonly log: IReplicatedLog;
  readonly routesSection: RoutesSection;
  readonly bulkSection: BulkSection;
  readonly routes: RoutesHolder;
  readonly ledger: LoadLedger;
  readonly list: IEngineListSource;
  readonly probe: IEngineProbe;
  /** Runs items from this store. */
  readonly executor: IItemExecutor;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  /** Time from its submission for which a job can be read, in ms. */
  readonly jobKeepMilliseconds: number;
  /** Where the stores listen for calls of other instances. */
  readonly peerPort: number;
  /** Identifier of this store. */
  readonly store: string;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/** Parts that run only while this store leads the log. */
interface ITermParts {
  readonly store: DisposableStore;
  readonly directory: EngineDirectory;
  readonly runner: BulkRunner;
  readonly health: EngineHealth;
}

/** Starts and ends what only the leader of the log does. */
export class LeaderDuties implements IDisposable {
  #parts: ILeaderDutyParts;
  #term: ITermParts | undefined;
  /** Term that this store leads, its duties begun or not. */
  #reviewedTerm: number | undefined;
  #store = new DisposableStore();
  #isEnded = false;

  constructor(parts: ILeaderDutyParts) {
    this.#parts = parts;
    this.#store.add(parts.log.onLeadershipChange(() => this.#review()));
  }

  /** What the leader tells other instances; undefined on others. */
  get knowledge(): ILeaderState | undefined {
    const { routesSection } = this.#parts;
    if (!this.#term) return undefined;
    const { directory, runner } = this.#term;
    return {
      list: directory.list,
      listAge: directory.listAge,
      failing: directory.failing,
      bulk: runner.load,
      routes: routesSection.current,
      preemptItems: (load) => runner.preemptBatchItems(load),
    };
  }

  /** Items that run now; undefined on a store that does not lead. */
  get runningItems(): number | undefined {
    if (!this.#term) return undefined;
    const counts = [...this.#term.runner.load.values()];
    return counts.reduce((sum, count) => sum + count, 0);
  }

  dispose(): void {
    this.#isEnded = true;
    this.#endTerm();
    this.#store.dispose();
  }

  #review(): void {
    const { isLeader, term } = this.#parts.log.leadership;
    if (!isLeader || term !== this.#reviewedTerm) this.#endTerm();
    const isNew = isLeader && term !== this.#reviewedTerm;
    this.#reviewedTerm = isLeader ? term : undefined;
    if (isNew) void this.#prepareTerm(term);
  }

  /**
   * Begins the duties of a term once everything that was acknowledged before
   * is applied. Until then, routes may be older than those in force, and the
   * progress of items is not known yet.
   */
  async #prepareTerm(term: number): Promise<void> {
    const { log, clock } = this.#parts;
    while (!this.#isEnded && this.#reviewedTerm === term) {
      const deadline = clock.deadlineIn(BARRIER_MILLISECONDS);
      const applied = await log.barrier({ deadline, requiresQuorum: true });
      const isCurrent = !this.#isEnded && this.#reviewedTerm === term;
      if (applied.isOk() && isCurrent) return this.#beginTerm();
      if (applied.isErr()) {
        await clock.sleepUntil(clock.deadlineIn(RETRY_MILLISECONDS));
      }
    }
  }

  #beginTerm(): void {
    const { log, clock, events, list, probe, ledger } = this.#parts;
    const { bulkSection, routes, executor, rpc, server } = this.#parts;
    const store = new DisposableStore();
    const health = new EngineHealth(clock, { events });
    const suspicions = () => {
      const counts = ledger.suspectCounts();
      for (const engine of health.suspects()) {
        counts.set(engine, (counts.get(engine) ?? 0) + 1);
      }
      return counts;
    };
    const directory = store.add(
      new EngineDirectory({
        list,
        probe,
        clock,
        events,
        suspectCounts: suspicions,
      }),
    );
    const stores = store.add(
      new StoreExecutor({
        local: executor,
        ...{ rpc, server, clock },
        term: log.leadership.term,
        stores: () => this.#otherStores(),
      }),
    );
    const settling = new LoadReadiness(ledger, clock);
    const runner = store.add(
      new BulkRunner({
        ...{ log, clock, events, health },
        executor: stores,
        jobRetentionMilliseconds: this.#parts.jobKeepMilliseconds,
        section: bulkSection,
        isLoadKnown: () => settling.isReady,
        routes: () => routes.table,
        engines: () => this.#engines(directory, health),
      }),
    );
    this.#term = { store, directory, runner, health };
    directory.start();
    runner.start();
  }

  #engines(directory: EngineDirectory, health: EngineHealth) {
    const live = this.#parts.ledger.liveCounts();
    return directory.list.engines.map((engine) => ({
      engine,
      live: live.get(engine.id) ?? 0,
      isSuspect: health.isSuspect(engine.id) ||
        directory.failing.has(engine.id),
    }));
  }

  /** Stores that reported lately. */
  #otherStores(): PeerAddress[] {
    const { ledger, peerPort, store } = this.#parts;
    return ledger.peers("store", peerPort).filter(({ id }) => id !== store);
  }

  #endTerm(): void {
    this.#term?.store.dispose();
    this.#term = undefined;
  }
}
