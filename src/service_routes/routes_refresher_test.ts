import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { RoutesHolder } from "./routes_holder.ts";
import { RoutesRefresher } from "./routes_refresher.ts";
import { RoutesSection } from "./routes_section.ts";
import type { RouteSet } from "./types.ts";

const DECODING_MILLISECONDS = 20;
const UNDECODABLE_VERSION = 13;

function routeSet(version: number): RouteSet {
  const limits = {
    ...{ headerBytes: 1, bodyBytes: 1 },
    ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
  return { version, routes: [], services: [], limits, source: "" };
}

function createFixture() {
  const clock = new FakeClock();
  const section = new RoutesSection();
  const decoded: number[] = [];
  const holder = new RoutesHolder({
    events: new SilentEventLog(),
    complete: (routes) => {
      clock.advance(DECODING_MILLISECONDS);
      decoded.push(routes.version);
      return routes.version === UNDECODABLE_VERSION ? undefined : routes;
    },
  });
  const refresher = new RoutesRefresher(section, holder, { clock });
  const apply = (version: number) =>
    section.apply({ routes: routeSet(version) });
  const advance = async (milliseconds: number) => {
    clock.advance(milliseconds);
    await new Promise(setImmediate);
  };
  return { section, holder, refresher, decoded, apply, advance };
}

// Guards against stores that decode each configuration of a storm.
test("only the newest routes are decoded in quick succession", async (t) => {
  const { holder, decoded, apply, advance } = createFixture();
  apply(2);
  t.is(holder.version, 2, "the first is in force at once");
  for (const version of [3, 4, 5]) apply(version);
  t.deepEqual(decoded, [2]);
  await advance(250);
  t.deepEqual(decoded, [2, 5]);
  await advance(250);
  apply(6);
  t.is(holder.version, 6);
});

test("undecodable routes are tried once", async (t) => {
  const { holder, decoded, apply, advance } = createFixture();
  apply(UNDECODABLE_VERSION);
  await advance(1_000);
  t.deepEqual(decoded, [UNDECODABLE_VERSION]);
  apply(UNDECODABLE_VERSION + 1);
  t.is(holder.version, UNDECODABLE_VERSION + 1);
});

test("nothing is decoded after the disposal", async (t) => {
  const { refresher, decoded, apply, advance } = createFixture();
  apply(2);
  apply(3);
  refresher.dispose();
  apply(4);
  await advance(1_000);
  t.deepEqual(decoded, [2]);
});
