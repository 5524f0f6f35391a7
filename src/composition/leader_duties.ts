import { BulkRunner, type BulkSection } from "../bulk/mod.ts";
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
  type IEngineList,
  type IEngineProbe,
  type ILeaderKnowledge,
  type LoadLedger,
} from "../placement/mod.ts";
import type { RoutesHolder, RoutesSection } from "../service_routes/mod.ts";
import type { IEngineCaller } from "../streams/mod.ts";

/** Collaborators of `LeaderDuties`. */
export interface ILeaderDutyParts {
  readonly log: IReplicatedLog;
  readonly routesSection: RoutesSection;
  readonly bulkSection: BulkSection;
  readonly routes: RoutesHolder;
  readonly ledger: LoadLedger;
  readonly list: IEngineList;
  readonly caller: IEngineCaller & IEngineProbe;
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
  #store = new DisposableStore();
  #isEnded = false;

  constructor(parts: ILeaderDutyParts) {
    this.#parts = parts;
    this.#store.add(parts.log.onLeadershipChange(() => this.#review()));
  }

  /** What the leader tells other instances; undefined on others. */
  get knowledge(): ILeaderKnowledge | undefined {
    const { routesSection } = this.#parts;
    if (!this.#term) return undefined;
    const { directory, runner } = this.#term;
    return {
      list: directory.list,
      listAge: directory.listAge,
      failing: directory.failing,
      bulk: runner.load(),
      routes: routesSection.current,
      makeRoom: () => runner.plan(),
    };
  }

  dispose(): void {
    this.#isEnded = true;
    this.#endTerm();
    this.#store.dispose();
  }

  #review(): void {
    const { isLeader } = this.#parts.log.leadership;
    if (isLeader && !this.#term && !this.#isEnded) this.#beginTerm();
    if (!isLeader) this.#endTerm();
  }

  #beginTerm(): void {
    const { log, clock, events, list, caller, ledger } = this.#parts;
    const { bulkSection, routes } = this.#parts;
    const store = new DisposableStore();
    const health = new EngineHealth(clock, { events });
    const suspicions = () => {
      const counts = ledger.suspicions();
      for (const engine of health.suspects()) {
        counts.set(engine, (counts.get(engine) ?? 0) + 1);
      }
      return counts;
    };
    const directory = store.add(
      new EngineDirectory({ list, probe: caller, clock, events, suspicions }),
    );
    const runner = store.add(
      new BulkRunner({
        ...{ log, caller, clock, events, health },
        section: bulkSection,
        routes: () => routes.table,
        engines: () => this.#engines(directory, health),
      }),
    );
    this.#term = { store, directory, runner, health };
    directory.start();
    runner.start();
  }

  #engines(directory: EngineDirectory, health: EngineHealth) {
    const live = this.#parts.ledger.live();
    return directory.list.engines.map((engine) => ({
      engine,
      live: live.get(engine.id) ?? 0,
      isSuspect: health.isSuspect(engine.id) ||
        directory.failing.has(engine.id),
    }));
  }

  #endTerm(): void {
    this.#term?.store.dispose();
    this.#term = undefined;
  }
}
