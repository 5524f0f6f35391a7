import test from "ava";
import { compareRoutes } from "./compare_routes.ts";
import { reviewRoutes } from "./review_routes.ts";
import type { Route, RouteSet } from "./types.ts";

const ROUTE: Route = {
  ...{ name: "alerts", host: "one.example", pathPrefix: "/a/" },
  kind: "stream",
  timeoutMilliseconds: 5_000,
  objectiveMilliseconds: 300,
  priority: 0,
  shares: [{ service: "writer", weight: 1 }],
  attempts: 2,
  isResumable: true,
};

function routeSet(changes: Partial<RouteSet> = {}): RouteSet {
  return {
    version: 1,
    routes: [ROUTE],
    services: [{ name: "writer", healthPath: "/health", slots: 8 }],
    callers: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
    source: "",
    ...changes,
  };
}

function findings(changes: Partial<RouteSet>): string[] {
  return reviewRoutes(routeSet(changes)).map(({ kind, entry, message }) =>
    `${kind} ${entry}: ${message}`
  );
}

test("sound configuration has no findings", (t) => {
  const caller = {
    ...{ name: "dispatch", keyHashes: ["0a"] },
    limit: { requestsPerSecond: 4, burst: 4 },
  };
  t.deepEqual(findings({ callers: [caller] }), []);
});

test("entries that can never match are found", (t) => {
  const routes = [
    { ...ROUTE, host: "one.example:80" },
    { ...ROUTE, name: "query", pathPrefix: "/a?b/" },
    { ...ROUTE, name: "split", shares: [{ service: "old", weight: 0 }] },
    { ...ROUTE, name: "open", isPublic: true },
  ];
  const found = findings({
    routes,
    services: [{ name: "spare", healthPath: "/health", slots: 8 }],
  });
  t.regex(found[0] ?? "", /^unreachable route alerts: .*"one\.example:80"/);
  t.regex(found[1] ?? "", /^unreachable route query: /);
  t.regex(found[2] ?? "", /^unreachable route split: service old/);
  t.regex(found[3] ?? "", /^unreachable route open: it is public/);
  t.is(found[4], "unreachable service spare: no route uses it");
  const keyless = { name: "dispatch", keyHashes: [] };
  t.regex(findings({ callers: [keyless] })[0] ?? "", /it has no key/);
});

test("limits that contradict each other are found", (t) => {
  const late = { ...ROUTE, timeoutMilliseconds: 200 };
  t.regex(findings({ routes: [late] })[0] ?? "", /before the objective/);
  const dropped = {
    ...ROUTE,
    resultMilliseconds: 18_000,
    retentionMilliseconds: 6_000,
  };
  t.regex(findings({ routes: [dropped] })[0] ?? "", /before their results/);
  const single = { ...ROUTE, attempts: 1 };
  t.regex(findings({ routes: [single] })[0] ?? "", /one attempt/);
  const { limits } = routeSet();
  const slow = { ...limits, headerTimeoutMilliseconds: 20_000 };
  t.regex(findings({ limits: slow })[0] ?? "", /before the 20000 ms/);
});

test("differences are listed by entry and field, without keys", (t) => {
  const hash = "0123456789abcdef".repeat(4);
  const before = routeSet({
    callers: [{ name: "dispatch", keyHashes: [hash] }],
  });
  const after = routeSet({
    version: 2,
    routes: [
      { ...ROUTE, timeoutMilliseconds: 9_000 },
      { ...ROUTE, name: "new" },
    ],
    callers: [{ name: "dispatch", keyHashes: [] }],
  });
  t.deepEqual(compareRoutes(before, after), [
    {
      entry: "route alerts",
      change: "changed",
      field: "timeoutMilliseconds",
      before: "5000",
      after: "9000",
    },
    { entry: "route new", change: "added" },
    {
      entry: "caller dispatch",
      change: "changed",
      field: "keys",
      before: '["01234567"]',
      after: "[]",
    },
  ]);
  t.deepEqual(compareRoutes(after, after), []);
  const [removed] = compareRoutes(after, before)
    .filter(({ change }) => change === "removed");
  t.is(removed?.entry, "route new");
});
