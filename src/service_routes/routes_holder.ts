import { Emitter } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { routesInForce, routesUndecodable } from "./events.ts";
import { RouteTable } from "./route_table.ts";
import type { RouteSet } from "./types.ts";

/** Minimum retry delay; routes may be known this soon after a start. */
const NO_ROUTES_MINIMUM_DELAY_MILLISECONDS = 500;

/** Maximum random addition, so that callers do not all retry at once. */
const NO_ROUTES_JITTER_MILLISECONDS = 1_000;

/**
 * Returns the retry delay in milliseconds for a request that arrived before
 * any routes were known.
 *
 * @param random number in the range from 0 up to, but not including, 1.
 */
export function retryDelayBeforeRoutes(random: number): number {
  return NO_ROUTES_MINIMUM_DELAY_MILLISECONDS +
    random * NO_ROUTES_JITTER_MILLISECONDS;
}

/**
 * Completes routes without callers from their document. Returns undefined if
 * the document cannot be decoded.
 */
export type RouteCompleter = (routes: RouteSet) => RouteSet | undefined;

/** Holds the routes in force here; their version never decreases. */
export class RoutesHolder {
  #table: RouteTable | undefined;
  #events: IEventLog;
  #complete: RouteCompleter;
  #change = new Emitter<RouteSet>();
  /** Fires when another version comes into force. */
  readonly onChange = this.#change.event;

  /** @param options.complete by default, routes are complete as received. */
  constructor(options: { events: IEventLog; complete?: RouteCompleter }) {
    this.#events = options.events;
    this.#complete = options.complete ?? ((routes) => routes);
  }

  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Puts routes into force if they are newer than the current ones. */
  setIfNewer(received: RouteSet): void {
    if (received.version <= this.version) return;
    const routes = this.#complete(received);
    if (!routes) {
      const { version } = received;
      this.#events.emit(routesUndecodable, { version, kept: this.version });
      return;
    }
    const previous = this.version;
    this.#table = new RouteTable(routes);
    this.#events.emit(routesInForce, {
      version: routes.version,
      previous,
      routes: routes.routes.length,
      callers: routes.callers?.length ?? 0,
    });
    this.#change.fire(routes);
  }
}
