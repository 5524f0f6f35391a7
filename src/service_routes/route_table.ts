import { hashKey } from "../common/mod.ts";
import type { CallerAccount, Route, RouteSet, Service } from "./types.ts";

/** Looks up routes by host and path, and callers by key. */
export class RouteTable {
  readonly set: RouteSet;
  #byHost = new Map<string, Route[]>();
  #services: Map<string, Service>;
  #callersByHash = new Map<string, CallerAccount>();
  #callersByName = new Map<string, CallerAccount>();
  #areAllLimited: boolean;

  constructor(set: RouteSet) {
    this.set = set;
    for (const route of set.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host) ?? [];
      routes.push(route);
      this.#byHost.set(host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.#services = new Map(
      set.services.map((service) => [service.name, service]),
    );
    const callers = set.callers ?? [];
    this.#areAllLimited = callers.every(({ limit }) => limit !== undefined);
    for (const caller of callers) {
      this.#callersByName.set(caller.name, caller);
      for (const hash of caller.keyHashes) {
        this.#callersByHash.set(hash, caller);
      }
    }
  }

  /** Whether requests need a key, except those on public routes. */
  get requiresKeys(): boolean {
    return this.#callersByName.size > 0;
  }

  /** Returns the caller that holds a key. */
  callerByKey(key: string): CallerAccount | undefined {
    return this.#callersByHash.get(hashKey(key));
  }

  /**
   * Weight of a caller where slots are shared: its limit of requests, or the
   * same for all if some callers have no limit.
   */
  weightOf(name: string): number {
    if (!this.#areAllLimited) return 1;
    return this.#callersByName.get(name)?.limit?.requestsPerSecond ?? 1;
  }

  callerByName(name: string): CallerAccount | undefined {
    return this.#callersByName.get(name);
  }

  get version(): number {
    return this.set.version;
  }

  /** The routes without the operator's document, which contains keys. */
  get setForEntries(): RouteSet {
    const { set } = this;
    return set.callers === undefined ? set : { ...set, source: "" };
  }

  /** Returns the route with the longest prefix that matches the path. */
  find(host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(host.toLowerCase()) ?? [];
    return routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }
}

/**
 * Chooses one of a route's services at random, in proportion to the weights.
 *
 * @param random number in the range from 0 up to, but not including, 1.
 */
export function chooseService(route: Route, random: number): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of route.shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.shares.at(-1)?.service ?? "";
}
