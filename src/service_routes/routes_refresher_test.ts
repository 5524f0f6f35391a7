import test from "ava";
import { ok } from "neverthrow";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { ClockWatch } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { KeyPermission } from "./key_permission.ts";
import { readAppliedRoutesMethod } from "./messages.ts";
import { registerRoutesHandlers } from "./routes_handlers.ts";
import { RoutesHolder } from "./routes_holder.ts";
import { RoutesRefresher } from "./routes_refresher.ts";
import { RoutesSection } from "./routes_section.ts";
import type { RouteSet } from "./types.ts";

/** Time within which routes must come into force. */
const BOUND_MILLISECONDS = 2_500;

function routeSet(version: number): RouteSet {
  const limits = {
    ...{ headerBytes: 1, bodyBytes: 1 },
    ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
  return { version, routes: [], services: [], limits, source: "" };
}

/** An entry with version 1, which no leader confirms, and some stores. */
function createFixture(storeCount = 5) {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(1));
  const events = new SilentEventLog();
  const stores = Array.from({ length: storeCount }, (_, index) => {
    const id = `store-${index}`;
    const section = new RoutesSection();
    const routes = new RoutesHolder({ events, isLazy: true });
    section.onAccepted((set) => routes.setIfNewer(set));
    section.apply({ routes: routeSet(1) });
    const endpoint = network.connect(id, clock);
    registerRoutesHandlers(endpoint, { section, routes });
    return { id, section, endpoint };
  });
  const routes = new RoutesHolder({ events });
  routes.setIfNewer(routeSet(1));
  const permission = new KeyPermission(clock, {
    watch: new ClockWatch(clock),
    events,
    bound: { isStrict: false, milliseconds: 5_000 },
    version: () => routes.version,
  });
  const rpc = network.connect("entry", clock);
  const refresher = new RoutesRefresher({
    ...{ clock, events, routes, permission, rpc },
    stores: () => stores.map(({ id }) => ({ id, address: id, port: 1 })),
    boundMilliseconds: BOUND_MILLISECONDS,
    random: () => 0,
    contactAge: () => 0,
  });
  refresher.start();
  return { time, clock, network, stores, routes, permission };
}

// Guards against an entry that uses routes which are no longer in force because
// it gets them from the leader only (late-routes).
test("unconfirmed routes are read from the one store that has newer", async (t) => {
  const { time, network, stores, routes } = createFixture();
  for (const { id } of stores.slice(0, 3)) network.isolated.add(id);
  stores[4]!.section.apply({ routes: routeSet(2) });
  await time.advance(BOUND_MILLISECONDS);
  t.is(routes.version, 2);
});

// The same, with more stores than a log has voters.
test("all of twelve stores are asked in time", async (t) => {
  const { time, stores, routes } = createFixture(12);
  stores.at(-1)!.section.apply({ routes: routeSet(2) });
  await time.advance(BOUND_MILLISECONDS);
  t.is(routes.version, 2);
});

// The same, with a delay that exceeds the timeout of an exchange.
test("routes in answers that take 0.6 s come into force", async (t) => {
  const { time, clock, stores, routes } = createFixture();
  for (const { endpoint } of stores) {
    endpoint.handle(readAppliedRoutesMethod, async () => {
      await clock.sleepUntil(clock.deadlineIn(600));
      return ok({ routes: routeSet(2) });
    });
  }
  await time.advance(BOUND_MILLISECONDS);
  t.is(routes.version, 2);
});

test("older routes of a store change nothing", async (t) => {
  const { time, stores, routes } = createFixture();
  stores[0]!.section.apply({ routes: routeSet(3) });
  stores[1]!.section.apply({ routes: routeSet(2) });
  const versions: number[] = [];
  await time.advance(BOUND_MILLISECONDS, () => versions.push(routes.version));
  t.deepEqual([...new Set(versions)], [1, 3]);
});

test("no store is asked while the leader confirms the routes", async (t) => {
  const { time, stores, permission } = createFixture();
  let calls = 0;
  for (const { endpoint } of stores) {
    endpoint.handle(readAppliedRoutesMethod, () => {
      calls += 1;
      return Promise.resolve(ok({}));
    });
  }
  for (let passed = 0; passed < BOUND_MILLISECONDS; passed += 200) {
    permission.confirm(permission.ask(), 0);
    await time.advance(200);
  }
  // Before the first confirmation, the entry has asked at its start.
  t.true(calls <= 1);
  const before = calls;
  await time.advance(BOUND_MILLISECONDS);
  t.true(calls > before, "but afterwards, when it no longer does");
});

test("a store that does not answer is asked once at a time", async (t) => {
  const { time, stores } = createFixture();
  let asked = 0;
  stores[0]!.endpoint.handle(readAppliedRoutesMethod, () => {
    asked += 1;
    return new Promise(() => {});
  });
  await time.advance(2 * BOUND_MILLISECONDS - 1);
  t.true(asked >= 1 && asked <= 2, `asked ${asked} times`);
});
