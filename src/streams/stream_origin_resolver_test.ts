import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { Deadline } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import {
  EngineHealth,
  EngineTable,
  LeavingEngines,
  StreamOrigins,
} from "../placement/mod.ts";
import type { Route } from "../service_routes/mod.ts";
import {
  type ResumptionTarget,
  StreamOriginResolver,
} from "./stream_origin_resolver.ts";

const ROUTE: Route = {
  name: "alerts",
  host: "alerts.example",
  pathPrefix: "/alerts/",
  kind: "stream",
  timeoutMilliseconds: 5_000,
  objectiveMilliseconds: 300,
  priority: 0,
  shares: [{ service: "writer", weight: 1 }],
  attempts: 2,
  isResumable: true,
};

const FIRST = { service: "writer", softwareVersion: "v1" };

/** Longer than a stream may have begun before it is resumed on the route. */
const LONG_MILLISECONDS = 20_000;

function createFixture() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const events = new SilentEventLog();
  const health = new EngineHealth(clock, { events });
  const leaving = new LeavingEngines(clock, { events });
  const table = new EngineTable(clock, { events, health, leaving });
  const origins = new StreamOrigins(clock);
  const leader = {
    known: undefined as ResumptionTarget | undefined,
    asked: 0,
    findOrigin() {
      this.asked += 1;
      return Promise.resolve(this.known);
    },
  };
  const resolver = new StreamOriginResolver({ origins, table, leader, clock });
  const list = (...versions: string[]) =>
    table.updateList({
      revision: versions.join(),
      engines: versions.map((softwareVersion, index) =>
        listedEngine(`engine-${index}`, { softwareVersion })
      ),
    }, { age: 0, source: "leader" });
  /** Confirms the list every second, as exchanges with the leader do. */
  const confirmFor = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 1_000) {
      await time.advance(1_000);
      table.confirmListAge(0);
    }
  };
  const resolve = async (
    resumedRequest?: string,
    { route = ROUTE, confirms = true } = {},
  ) => {
    const { signal } = new AbortController();
    const resolved = resolver.resolve({
      ...{ route, resumedRequest, signal },
    });
    if (confirms) {
      // The list is confirmed while the resolver searches.
      await time.advance(300);
      table.confirmListAge(0);
    }
    await time.advance(2_000);
    return await resolved;
  };
  return { time, clock, table, origins, leader, list, confirmFor, resolve };
}

test("stream that began here goes on at its version", async (t) => {
  const { origins, list, resolve, leader } = createFixture();
  list("v1", "v2");
  const expiresAt = 60_000 as Deadline;
  origins.record({ request: "stream", ...FIRST, expiresAt });
  t.like(await resolve("stream"), FIRST);
  t.is(leader.asked, 0);
});

test("stream that began elsewhere is looked up at the leader", async (t) => {
  const { list, resolve, leader, time } = createFixture();
  list("v1", "v2");
  const resolved = resolve("stream");
  // The entry that began the stream reports it a little later.
  await time.advance(150);
  leader.known = FIRST;
  t.deepEqual(await resolved, FIRST);
  leader.known = undefined;
  t.is(await resolve("stream"), undefined);
});

test("the only version for longer than a stream lasts is certain", async (t) => {
  const { list, confirmFor, resolve } = createFixture();
  list("v1", "v1");
  await confirmFor(5_000);
  t.is(await resolve("stream"), undefined, "known for too short a time");
  await confirmFor(LONG_MILLISECONDS);
  t.deepEqual(await resolve("stream"), FIRST);
});

// Guards against streams with events of two software versions (inc-defd).
test("machine out of touch does not trust an old list", async (t) => {
  const { list, confirmFor, time, table, resolve } = createFixture();
  list("v1", "v1");
  await confirmFor(LONG_MILLISECONDS);
  await time.advance(5_000);
  t.is(await resolve("stream"), undefined);
  // Other versions may have come and gone while the list was not read.
  table.confirmListAge(0);
  t.is(await resolve("stream"), undefined);
});

// Guards against streams with events of two software versions (inc-defd).
test("after a release, the version stays uncertain for a while", async (t) => {
  const { list, confirmFor, resolve } = createFixture();
  list("v1");
  await confirmFor(LONG_MILLISECONDS);
  list("v1", "v2");
  t.is(await resolve("stream"), undefined);
  list("v2");
  await confirmFor(5_000);
  t.is(await resolve("stream"), undefined);
  await confirmFor(LONG_MILLISECONDS);
  t.deepEqual(await resolve("stream"), { ...FIRST, softwareVersion: "v2" });
});

// Guards against streams with events of two software versions (rejoined): the
// engines that began the stream may just have left.
test("caller that names no attempt needs a version that is certain", async (t) => {
  const { list, confirmFor, resolve } = createFixture();
  list("v1", "v2");
  await confirmFor(LONG_MILLISECONDS);
  list("v2");
  t.is(await resolve(), undefined);
  await confirmFor(LONG_MILLISECONDS);
  t.deepEqual(await resolve(), { ...FIRST, softwareVersion: "v2" });
});

// Guards against streams with events of two software versions (rejoined): the
// stream may have begun at an engine that the list does not show yet.
test("list from before the caller came back proves no version", async (t) => {
  const { list, confirmFor, resolve, leader, time } = createFixture();
  list("v1");
  await confirmFor(LONG_MILLISECONDS);
  await time.advance(200);
  t.is(await resolve("stream", { confirms: false }), undefined);
  await confirmFor(LONG_MILLISECONDS);
  await time.advance(200);
  const second = { ...FIRST, softwareVersion: "v2" };
  leader.known = second;
  t.deepEqual(await resolve("stream", { confirms: false }), second);
});

// Guards against streams with events of two software versions (rejoined): the
// instance that began the stream was lost before it had reported it.
test("stream that no instance remembers is not resumed", async (t) => {
  const { list, confirmFor, resolve, leader } = createFixture();
  list("v1", "v2");
  await confirmFor(LONG_MILLISECONDS);
  list("v2");
  t.is(await resolve("stream"), undefined);
  t.true(leader.asked > 1);
});

test("several services of a route leave the version uncertain", async (t) => {
  const { list, confirmFor, resolve } = createFixture();
  list("v1");
  await confirmFor(LONG_MILLISECONDS);
  const shares = [...ROUTE.shares, { service: "other", weight: 1 }];
  const route = { ...ROUTE, shares };
  t.is(await resolve("stream", { route }), undefined);
  t.is(await resolve(undefined, { route }), undefined);
  // The parts of a split may name the same service.
  await confirmFor(LONG_MILLISECONDS);
  const same = { ...ROUTE, shares: [...ROUTE.shares, ...ROUTE.shares] };
  t.deepEqual(await resolve("stream", { route: same }), FIRST);
});
