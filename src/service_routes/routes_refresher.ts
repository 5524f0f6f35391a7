import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcClient, PeerAddress } from "../rpc/mod.ts";
import { routesConfirmed, routesRead, routesUnconfirmed } from "./events.ts";
import type { KeyPermission } from "./key_permission.ts";
import { readAppliedRoutesMethod } from "./messages.ts";
import type { RoutesHolder } from "./routes_holder.ts";

/**
 * Share of the time within which routes must come into force after which they
 * count as unconfirmed.
 */
const UNCONFIRMED_SHARE = 0.2;

/** Share of that time in which all stores are then asked once. */
const ROUND_SHARE = 0.5;

/** Dependencies of a `RoutesRefresher`. */
export interface IRoutesRefresherOptions {
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly routes: RoutesHolder;
  readonly permission: Pick<
    KeyPermission,
    "ageMilliseconds" | "unconfirmedMilliseconds"
  >;
  readonly rpc: IRpcClient;
  /** Stores that hold the replicated routes. */
  readonly stores: () => readonly PeerAddress[];
  /** Time since the leader last answered, in milliseconds. */
  readonly contactAge: () => number;
  /** Time within which routes must come into force, in milliseconds. */
  readonly boundMilliseconds: number;
  /** Source of random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/**
 * Reads routes from the stores while no leader confirms those in force here.
 *
 * Routes usually come with the leader's answers to the load exchange. If these
 * are late, lost or out of date, any store that has applied newer routes can
 * send them as well. The stores are asked in turn; one that does not answer
 * delays none of the others, and a late answer is used.
 */
export class RoutesRefresher implements IDisposable {
  #options: IRoutesRefresherOptions;
  #unconfirmedSince: Deadline | undefined;
  /** Position of the store to ask next, as a count of calls. */
  #turn: number;
  /** Stores whose answers are outstanding. */
  #unanswered = new Set<string>();
  #stopping = new AbortController();

  constructor(options: IRoutesRefresherOptions) {
    this.#options = options;
    // Instances begin with different stores.
    this.#turn = Math.floor(options.random() * options.stores().length);
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stopping.abort();
  }

  async #run(): Promise<void> {
    const { clock, stores, boundMilliseconds } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      this.#check();
      const storeCount = Math.max(1, stores().length);
      const next = clock.deadlineIn(
        boundMilliseconds * ROUND_SHARE / storeCount,
      );
      await clock.sleepUntil(next, signal);
    }
  }

  #check(): void {
    const { permission, routes, boundMilliseconds } = this.#options;
    // Before the first routes there is nothing that could be out of date.
    if (routes.version === 0) return;
    const limit = boundMilliseconds * UNCONFIRMED_SHARE;
    if (permission.unconfirmedMilliseconds > limit) {
      this.#reportUnconfirmed();
      void this.#readFromNextStore();
    } else if (this.#unconfirmedSince !== undefined) {
      this.#reportConfirmed(this.#unconfirmedSince);
    }
  }

  async #readFromNextStore(): Promise<void> {
    const { clock, events, routes, rpc, boundMilliseconds } = this.#options;
    const store = this.#nextStore();
    if (!store) return;
    this.#unanswered.add(store.id);
    const answer = await rpc.call(
      store,
      readAppliedRoutesMethod,
      { have: routes.version },
      { deadline: clock.deadlineIn(boundMilliseconds) },
    );
    this.#unanswered.delete(store.id);
    // A store that fails is asked again in its next turn.
    const newer = answer.isOk() ? answer.value.routes : undefined;
    const previous = routes.version;
    if (this.#stopping.signal.aborted || !newer) return;
    routes.setIfNewer(newer);
    const { version } = routes;
    if (version === previous) return;
    events.emit(routesRead, { store: store.id, version, previous });
  }

  /** The next store in turn that is not being asked already. */
  #nextStore(): PeerAddress | undefined {
    const stores = this.#options.stores();
    for (let count = 0; count < stores.length; count++) {
      const store = stores[this.#turn++ % stores.length];
      if (store && !this.#unanswered.has(store.id)) return store;
    }
    return undefined;
  }

  #reportUnconfirmed(): void {
    const { clock, events, permission, routes, contactAge } = this.#options;
    if (this.#unconfirmedSince !== undefined) return;
    this.#unconfirmedSince = clock.monotonic();
    events.emit(routesUnconfirmed, {
      version: routes.version,
      ageMilliseconds: permission.ageMilliseconds,
      contactMilliseconds: Math.round(contactAge()),
    });
  }

  #reportConfirmed(since: Deadline): void {
    const { clock, events, routes } = this.#options;
    this.#unconfirmedSince = undefined;
    events.emit(routesConfirmed, {
      version: routes.version,
      unconfirmedMilliseconds: Math.round(clock.monotonic() - since),
    });
  }
}
