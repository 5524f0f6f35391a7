import type { Route, RouteSet, Service } from "./types.ts";

/** Looks up routes by host and path. */
export class RouteTable {
  readonly set: RouteSet;
  #byHost = new Map<string, Route[]>();
  #services: Map<string, Service>;

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
  }

  get version(): number {
    return this.set.version;
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
