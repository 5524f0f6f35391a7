import { Emitter } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { routesInForce } from "./events.ts";
import { RouteTable } from "./route_table.ts";
import type { RouteSet } from "./types.ts";

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
  offer(routes: RouteSet): void {
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
