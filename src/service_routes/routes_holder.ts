import { Emitter } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { routesInForce } from "./events.ts";
import { RouteTable } from "./route_table.ts";
import type { RouteSet } from "./types.ts";

/** Shortest time until routes may be known after a start, in milliseconds. */
const NO_ROUTES_MINIMUM_DELAY_MILLISECONDS = 500;

/** Random addition, so that callers do not come back all at once, in ms. */
const NO_ROUTES_JITTER_MILLISECONDS = 1_000;

/**
 * Time after which a caller that came before any routes were known may come
 * back, in milliseconds.
 *
 * @param random number from 0 up to 1.
 */
export function retryDelayBeforeRoutes(random: number): number {
  return NO_ROUTES_MINIMUM_DELAY_MILLISECONDS +
    random * NO_ROUTES_JITTER_MILLISECONDS;
}

/** Routes in force on this instance; the version never falls. */
export class RoutesHolder {
  #table: RouteTable | undefined;
  #events: IEventLog;
  #change = new Emitter<RouteSet>();
  /** Fires with each version that comes into force. */
  readonly onChange = this.#change.event;

  constructor(options: { events: IEventLog }) {
    this.#events = options.events;
  }

  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Takes routes on, unless these are no newer than the present ones. */
  setIfNewer(routes: RouteSet): void {
    if (routes.version <= this.version) return;
    const previous = this.version;
    this.#table = new RouteTable(routes);
    this.#events.emit(routesInForce, {
      version: routes.version,
      previous,
      routes: routes.routes.length,
    });
    this.#change.fire(routes);
  }
}
