import test from "ava";
import { SilentEventLog } from "../events/mod.ts";
import { chooseService, RouteTable } from "./route_table.ts";
import { retryDelayBeforeRoutes, RoutesHolder } from "./routes_holder.ts";
import { RoutesSection } from "./routes_section.ts";
import type { Route, RouteSet } from "./types.ts";

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    ...{ name, host, pathPrefix },
    kind: "stream",
    timeoutMilliseconds: 5_000,
    objectiveMilliseconds: 300,
    priority: 0,
    shares: [{ service: "writer", weight: 1 }],
    attempts: 1,
    isResumable: false,
  };
}

function routeSet(version: number, routes: Route[] = []): RouteSet {
  return {
    version,
    routes,
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    source: `version ${version}`,
  };
}

test("route with the longest matching prefix of the host is chosen", (t) => {
  const table = new RouteTable(routeSet(1, [
    route("all", "one.example", "/"),
    route("long", "one.example", "/a/b/"),
    route("short", "one.example", "/a/"),
    route("other", "two.example", "/a/b/c/"),
  ]));
  t.is(table.find("one.example", "/a/b/c/d")?.name, "long");
  t.is(table.find("ONE.example", "/a/x")?.name, "short");
  t.is(table.find("one.example", "/ab")?.name, "all");
  t.is(table.find("two.example", "/a/b/"), undefined);
  t.is(table.find("three.example", "/"), undefined);
});

test("services are chosen by weight", (t) => {
  const shares = [
    { service: "old", weight: 90 },
    { service: "new", weight: 10 },
    { service: "gone", weight: 0 },
  ];
  const split = { ...route("r", "h", "/"), shares };
  t.is(chooseService(split, 0), "old");
  t.is(chooseService(split, 0.899), "old");
  t.is(chooseService(split, 0.901), "new");
  t.is(chooseService(split, 0.999), "new");
});

test("only a higher version changes routes; all are acknowledged", (t) => {
  const section = new RoutesSection();
  t.is(section.apply({ routes: routeSet(7) }).version, 7);
  t.is(section.apply({ routes: routeSet(3) }).version, 7);
  const other = { ...routeSet(7), source: "other content" };
  t.is(section.apply({ routes: other }).version, 7);
  t.is(section.current?.source, "version 7");
  t.is(section.apply({ routes: routeSet(12) }).version, 12);
});

test("routes survive a snapshot", async (t) => {
  const section = new RoutesSection();
  section.apply({ routes: routeSet(7) });
  const snapshot = JSON.parse(JSON.stringify(await section.snapshot()));
  const restored = new RoutesSection();
  await restored.restore(snapshot);
  t.deepEqual(restored.current, section.current);
});

test("version in force never decreases", (t) => {
  const holder = new RoutesHolder({ events: new SilentEventLog() });
  const seen: number[] = [];
  holder.onChange(({ version }) => seen.push(version));
  for (const version of [3, 2, 5, 5, 4]) holder.setIfNewer(routeSet(version));
  t.is(holder.version, 5);
  t.deepEqual(seen, [3, 5]);
});

test("retry delays before any routes are known are spread", (t) => {
  const times = [0, 0.5, 0.999].map(retryDelayBeforeRoutes);
  t.true(times[0]! >= 500 && times[2]! - times[0]! > 900);
});

// Guards against stores that decode each configuration of a storm, and against
// decisions by routes that are older than those applied.
test("lazy routes are decoded when read, the newest only", (t) => {
  const decoded: number[] = [];
  const holder = new RoutesHolder({
    events: new SilentEventLog(),
    complete: (routes) => {
      decoded.push(routes.version);
      return routes.version === 13 ? undefined : routes;
    },
    isLazy: true,
  });
  for (const version of [3, 8, 5]) holder.setIfNewer(routeSet(version));
  t.deepEqual(decoded, []);
  t.is(holder.table?.version, 8);
  holder.setIfNewer(routeSet(9));
  t.is(holder.version, 9, "what is read is never older than what was set");
  holder.setIfNewer(routeSet(13));
  t.is(holder.table?.version, 9);
  t.deepEqual(decoded, [8, 9, 13]);
});
