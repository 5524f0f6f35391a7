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
  /** Newer routes that have not been completed yet. */
  #waiting: RouteSet | undefined;
  #events: IEventLog;
  #complete: RouteCompleter;
  #isLazy: boolean;
  #change = new Emitter<RouteSet>();
  /** Fires when another version comes into force. */
  readonly onChange = this.#change.event;

  /**
   * @param options.complete by default, routes are complete as received.
   * @param options.isLazy whether routes are completed only when they are read;
   * in quick succession only the newest are then.
   */
  constructor(
    options: {
      events: IEventLog;
      complete?: RouteCompleter;
      isLazy?: boolean;
    },
  ) {
    this.#events = options.events;
    this.#isLazy = options.isLazy ?? false;
    this.#complete = options.complete ?? ((routes) => routes);
  }

  get table(): RouteTable | undefined {
    this.#completeWaiting();
    return this.#table;
  }

  get version(): number {
    return this.table?.version ?? 0;
  }

  /** Puts routes into force if they are newer than the current ones. */
  setIfNewer(received: RouteSet): void {
    const newest = this.#waiting ?? this.#table;
    if (received.version <= (newest?.version ?? 0)) return;
    this.#waiting = received;
    if (!this.#isLazy) this.#completeWaiting();
  }

  #completeWaiting(): void {
    const received = this.#waiting;
    if (!received) return;
    this.#waiting = undefined;
    const routes = this.#complete(received);
    const previous = this.#table?.version ?? 0;
    if (!routes) {
      const { version } = received;
      this.#events.emit(routesUndecodable, { version, kept: previous });
      return;
    }
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
