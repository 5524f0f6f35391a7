import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { routesConfirmed, routesUnconfirmed } from "./events.ts";
import type { KeyPermission } from "./key_permission.ts";
import type { RoutesHolder } from "./routes_holder.ts";

/** Interval at which the age of the confirmation is checked, in ms. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/** Age of the confirmation above which routes may be out of date, in ms. */
const UNCONFIRMED_MILLISECONDS = 500;

/** Dependencies of a `RoutesRefresher`. */
export interface IRoutesRefresherOptions {
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly routes: RoutesHolder;
  readonly permission: Pick<
    KeyPermission,
    "ageMilliseconds" | "unconfirmedMilliseconds"
  >;
  /** Time since the leader last answered, in milliseconds. */
  readonly contactAge: () => number;
}

/** Reports while no leader confirms the routes in force here. */
export class RoutesRefresher implements IDisposable {
  #options: IRoutesRefresherOptions;
  #unconfirmedSince: Deadline | undefined;
  #stopping = new AbortController();

  constructor(options: IRoutesRefresherOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stopping.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      this.#check();
      const next = clock.deadlineIn(CHECK_INTERVAL_MILLISECONDS);
      await clock.sleepUntil(next, signal);
    }
  }

  #check(): void {
    const { permission, routes } = this.#options;
    // Before the first routes there is nothing that could be out of date.
    if (routes.version === 0) return;
    const age = permission.unconfirmedMilliseconds;
    if (age > UNCONFIRMED_MILLISECONDS) this.#reportUnconfirmed();
    else if (this.#unconfirmedSince !== undefined) {
      this.#reportConfirmed(this.#unconfirmedSince);
    }
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
