import test from "ava";
import { SteppingClock } from "../../testing/stepping_clock.ts";
import { ClockWatch, hashKey } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { CallerAuthenticator } from "./caller_authenticator.ts";
import { KeyPermission } from "./key_permission.ts";
import { RoutesHolder } from "./routes_holder.ts";
import type { RouteSet } from "./types.ts";

const WITHDRAWAL_MILLISECONDS = 5_000;

function routeSet(version: number, keys: string[]): RouteSet {
  const callers = [{ name: "dispatch", keyHashes: keys.map(hashKey) }];
  return {
    ...{ version, callers, routes: [], services: [], source: "" },
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
}

/** An entry whose leader confirms `newest`, unless it is cut off. */
function setup(isStrict = true) {
  const clock = new SteppingClock();
  const events = new SilentEventLog();
  const routes = new RoutesHolder({ events });
  const bound = { isStrict, milliseconds: WITHDRAWAL_MILLISECONDS };
  const version = () => routes.version;
  const watch = new ClockWatch(clock);
  const permission = new KeyPermission(clock, {
    ...{ watch, events, bound, version },
  });
  const leader = { isReachable: true, newest: routeSet(1, ["one"]) };
  const confirmRoutes = () => {
    if (leader.isReachable) {
      routes.setIfNewer(leader.newest);
      permission.confirm(permission.ask(), 50);
    }
    return Promise.resolve();
  };
  const authenticator = new CallerAuthenticator({
    ...{ routes, permission, events, confirmer: { confirmRoutes } },
  });
  const check = async (key: string | undefined) =>
    (await authenticator.authenticate(key, "request")).kind;
  return { clock, leader, check, confirmRoutes, permission };
}

test("keys of callers are accepted, others are unknown", async (t) => {
  const { clock, check, confirmRoutes } = setup();
  clock.advance(10);
  await confirmRoutes();
  t.is(await check("one"), "caller");
  t.is(await check("two"), "unknown-key");
  t.is(await check(undefined), "unknown-key");
});

test("entry cut off stops before a withdrawn key must not run", async (t) => {
  const { clock, check, confirmRoutes, leader, permission } = setup();
  clock.advance(10);
  await confirmRoutes();
  leader.isReachable = false;
  leader.newest = routeSet(2, ["other"]);
  let served = 0;
  for (let waited = 0; waited < WITHDRAWAL_MILLISECONDS; waited += 100) {
    if (await check("one") === "caller") served = waited;
    clock.advance(100);
  }
  t.true(served > WITHDRAWAL_MILLISECONDS / 2, `served for ${served} ms`);
  t.true(served < WITHDRAWAL_MILLISECONDS * 0.8, `served for ${served} ms`);
  t.false(permission.mayAccept);
  leader.isReachable = true;
  t.is(await check("one"), "unknown-key", "known as soon as it is back");
  t.is(await check("other"), "caller");
});

// While a machine is suspended, its monotonic clock stands still.
test("entry that was frozen or suspended asks before it serves", async (t) => {
  for (const pause of ["frozen", "suspended"]) {
    const { clock, check, confirmRoutes, leader } = setup();
    clock.advance(10);
    await confirmRoutes();
    t.is(await check("one"), "caller");
    leader.newest = routeSet(2, ["other"]);
    if (pause === "frozen") clock.advance(8_000);
    else clock.stepWall(8_000);
    t.is(await check("one"), "unknown-key", pause);
    leader.isReachable = false;
    if (pause === "frozen") clock.advance(8_000);
    else clock.stepWall(8_000);
    t.is(await check("other"), "unconfirmed", pause);
  }
});

test("key added a moment ago is not called unknown", async (t) => {
  const { clock, check, confirmRoutes, leader } = setup();
  clock.advance(10);
  await confirmRoutes();
  leader.newest = routeSet(2, ["one", "new"]);
  clock.advance(4_000);
  t.is(await check("new"), "caller");
  leader.isReachable = false;
  clock.advance(4_000);
  t.is(await check("newer"), "unconfirmed");
});

test("without a strict bound, known keys work without a leader", async (t) => {
  const { clock, check, confirmRoutes, leader } = setup(false);
  clock.advance(10);
  await confirmRoutes();
  leader.isReachable = false;
  clock.advance(60_000);
  t.is(await check("one"), "caller");
  t.is(await check("two"), "unconfirmed");
});
