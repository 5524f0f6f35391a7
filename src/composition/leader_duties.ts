import {
  type CallerLimitUsage,
  type EngineLimits,
  FleetCallerLimiter,
  FleetRateLimiter,
} from "../admission/mod.ts";
import {
  BulkRunner,
  type BulkSection,
  type IItemExecutor,
  StoreExecutor,
} from "../bulk/mod.ts";
import {
  ClockWatch,
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
  type LeavingEngines,
  type LoadLedger,
  LoadReadiness,
} from "../placement/mod.ts";
import type { PartJudge } from "../quarantine/mod.ts";
import type { IRpcClient, IRpcServer, PeerAddress } from "../rpc/mod.ts";
import type { RoutesHolder, RoutesSection } from "../service_routes/mod.ts";

/** Time limit for applying all entries committed before the barrier. */
const BARRIER_TIMEOUT_MILLISECONDS = 1_000;

/** Delay before a failed barrier is retried. */
const BARRIER_RETRY_DELAY_MILLISECONDS = 20;

/** Dependencies of `LeaderDuties`. */
export interface ILeaderDutiesOptions {
  readonly log: IReplicatedLog;
  readonly routesSection: RoutesSection;
  readonly bulkSection: BulkSection;
  readonly routes: RoutesHolder;
  readonly ledger: LoadLedger;
  readonly list: IEngineListSource;
  readonly probe: IEngineProbe;
  readonly judge: Pick<PartJudge, "recordAlive">;
  readonly leaving: LeavingEngines;
  readonly engineLimits: EngineLimits;
  /** Runs items on this store. */
  readonly executor: IItemExecutor;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  /** Time after submission for which a job can be read. */
  readonly jobRetentionMilliseconds: number;
  /** Port on which the stores listen for RPC from other instances. */
  readonly peerPort: number;
  /** Identifier of this store. */
  readonly storeId: string;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/** Components that exist only while this store leads the log. */
interface ITermComponents {
  readonly disposables: DisposableStore;
  readonly directory: EngineDirectory;
  readonly runner: BulkRunner;
  readonly health: EngineHealth;
  readonly limiter: FleetRateLimiter;
  readonly callerLimiter: FleetCallerLimiter;
}

/** Runs the components that only the leader of the log needs. */
export class LeaderDuties implements IDisposable {
  #options: ILeaderDutiesOptions;
  #term: ITermComponents | undefined;
  /** Term that this store leads, whether or not its components have started. */
  #ledTerm: number | undefined;
  #disposables = new DisposableStore();
  #isDisposed = false;
  #clockWatch: ClockWatch;

  constructor(options: ILeaderDutiesOptions) {
    this.#options = options;
    this.#clockWatch = new ClockWatch(options.clock);
    this.#disposables.add(
      options.log.onLeadershipChange(() => this.#handleLeadershipChange()),
    );
  }

  /** State that the leader sends to other instances; undefined on followers. */
  get leaderState(): ILeaderState | undefined {
    const { routes, log, leaving } = this.#options;
    if (!this.#term) return undefined;
    const { directory, runner, limiter, callerLimiter } = this.#term;
    return {
      term: log.leadership.term,
      list: directory.list,
      listAge: directory.listAge,
      failing: directory.failing,
      soleVersions: directory.soleVersions,
      bulk: runner.load,
      overdueStops: runner.overdueStops(),
      routes: routes.table,
      confirmedMilliseconds: this.#confirmedMilliseconds(),
      leaving,
      limiter,
      callerLimiter,
      preemptBatchItems: (load) => runner.preemptBatchItems(load),
    };
  }

  /** Use of callers' limits; undefined on followers. */
  get callerLimitUsage(): CallerLimitUsage[] | undefined {
    const inProgress = this.#options.ledger.callerCounts();
    return this.#term?.callerLimiter.usage().map((usage) => ({
      ...usage,
      inProgress: inProgress.get(usage.caller) ?? 0,
    }));
  }

  /** Number of running items; undefined on followers. */
  get runningItemCount(): number | undefined {
    if (!this.#term) return undefined;
    const counts = [...this.#term.runner.load.values()];
    return counts.reduce((sum, count) => sum + count, 0);
  }

  dispose(): void {
    this.#isDisposed = true;
    this.#endTerm();
    this.#disposables.dispose();
  }

  #handleLeadershipChange(): void {
    const { isLeader, term } = this.#options.log.leadership;
    if (!isLeader || term !== this.#ledTerm) this.#endTerm();
    const isNew = isLeader && term !== this.#ledTerm;
    this.#ledTerm = isLeader ? term : undefined;
    if (isNew) void this.#startTermWhenApplied(term);
  }

  /**
   * Starts the term's components once all entries acknowledged in earlier
   * terms are applied. Until then, the routes may be older than those in
   * force, and the progress of items is unknown.
   */
  async #startTermWhenApplied(term: number): Promise<void> {
    const { log, clock } = this.#options;
    while (!this.#isDisposed && this.#ledTerm === term) {
      const deadline = clock.deadlineIn(BARRIER_TIMEOUT_MILLISECONDS);
      const applied = await log.barrier({ deadline, requiresQuorum: true });
      const isCurrent = !this.#isDisposed && this.#ledTerm === term;
      if (applied.isOk() && isCurrent) return this.#startTerm();
      if (applied.isErr()) {
        await clock.sleepUntil(
          clock.deadlineIn(BARRIER_RETRY_DELAY_MILLISECONDS),
        );
      }
    }
  }

  #startTerm(): void {
    const { log, clock, events, list, probe, ledger } = this.#options;
    const { bulkSection, routes, executor, rpc, server } = this.#options;
    const { judge, leaving, engineLimits } = this.#options;
    const disposables = new DisposableStore();
    const health = new EngineHealth(clock, { events });
    const limiter = new FleetRateLimiter(clock, engineLimits);
    const callerLimiter = new FleetCallerLimiter(
      clock,
      (caller) => routes.table?.callerByName(caller)?.limit,
    );
    const suspectCounts = () => {
      const counts = ledger.suspectCounts();
      for (const engine of health.suspects()) {
        counts.set(engine, (counts.get(engine) ?? 0) + 1);
      }
      return counts;
    };
    const directory = disposables.add(
      new EngineDirectory({
        list,
        probe,
        clock,
        events,
        suspectCounts,
        limiter,
        onHealthy: (engine, at) => judge.recordAlive(engine, at),
      }),
    );
    const storeExecutor = disposables.add(
      new StoreExecutor({
        local: executor,
        ...{ rpc, server, clock, events },
        term: log.leadership.term,
        leaving,
        stores: () => this.#otherStores(),
        entryCount: () => ledger.entryCount(),
      }),
    );
    const readiness = new LoadReadiness(ledger, clock);
    const runner = disposables.add(
      new BulkRunner({
        ...{ log, clock, events, health, limiter },
        executor: storeExecutor,
        jobRetentionMilliseconds: this.#options.jobRetentionMilliseconds,
        section: bulkSection,
        isLoadKnown: () => readiness.isReady,
        routes: () => routes.table,
        engines: () => this.#engines(directory, health),
      }),
    );
    this.#term = {
      ...{ disposables, directory, runner, health, limiter, callerLimiter },
    };
    directory.start();
    runner.start();
  }

  /** Time since these were the newest routes; undefined if not certain. */
  #confirmedMilliseconds(): number | undefined {
    const { log, clock, routes, routesSection } = this.#options;
    const { stateConfirmedAt } = log;
    const isCertain = stateConfirmedAt !== undefined &&
      routes.version >= (routesSection.current?.version ?? 0) &&
      this.#clockWatch.isContinuousSince(stateConfirmedAt);
    return isCertain ? clock.monotonic() - stateConfirmedAt : undefined;
  }

  #engines(directory: EngineDirectory, health: EngineHealth) {
    const { ledger, leaving, routes } = this.#options;
    const live = ledger.liveCounts();
    const liveTokens = ledger.liveTokens();
    return directory.list.engines.map((engine) => ({
      engine: leaving.withAnnouncement(engine),
      live: live.get(engine.id) ?? 0,
      liveTokens: liveTokens.get(engine.id) ?? 0,
      memoryTokens: routes.table?.service(engine.service)?.memoryTokens,
      isSuspect: health.isSuspect(engine.id) ||
        directory.failing.has(engine.id),
    }));
  }

  /** Other stores that have reported recently. */
  #otherStores(): PeerAddress[] {
    const { ledger, peerPort, storeId } = this.#options;
    return ledger.peers("store", peerPort).filter(({ id }) => id !== storeId);
  }

  #endTerm(): void {
    this.#term?.disposables.dispose();
    this.#term = undefined;
  }
}
