import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { SilentEventLog } from "../events/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { LinkMonitor } from "./link_monitor.ts";

/** Longer than the interval between checks of an instance that is cut off. */
const RECHECK_MILLISECONDS = 600;

function enginesIn(domains: string, count: number): ListedEngine[] {
  return Array.from(
    { length: count },
    (_, index) =>
      listedEngine(`i-${index}`, {
        failureDomain: domains[index % domains.length]!,
      }),
  );
}

/** A monitor whose connections open to the engines in `reachable` only. */
function setup(engines: readonly ListedEngine[], seed = 1) {
  const clock = new FakeClock();
  const reachable = new Set(engines.map(({ id }) => id));
  const tried: string[] = [];
  const random = new TestRandom(seed);
  const monitor = new LinkMonitor(clock, {
    engines: () => engines,
    events: new SilentEventLog(),
    random: () => random.integer(0, 999) / 1_000,
    connector: {
      connect: ({ id }) => {
        tried.push(id);
        return reachable.has(id)
          ? Promise.resolve()
          : Promise.reject(new Error("unreachable"));
      },
    },
  });
  return { clock, monitor, reachable, tried };
}

/** Lets pending promises run. */
const settle = () => new Promise((resolve) => setImmediate(resolve));

test("instance that reaches no engine is cut off until it does", async (t) => {
  const { clock, monitor, reachable } = setup(enginesIn("abc", 8));
  t.false(await monitor.check(clock.monotonic()));
  clock.advance(1);
  reachable.clear();
  t.true(await monitor.check(clock.monotonic()));
  t.true(monitor.isCutOff);
  clock.advance(RECHECK_MILLISECONDS);
  await settle();
  t.true(monitor.isCutOff, "still cut off after another check");
  for (let id = 0; id < 8; id++) reachable.add(`i-${id}`);
  clock.advance(RECHECK_MILLISECONDS);
  await settle();
  t.false(monitor.isCutOff);
  monitor.dispose();
});

test("loss of the engines in one failure domain cuts off nobody", async (t) => {
  for (let seed = 1; seed <= 50; seed++) {
    const engines = enginesIn("abc", 9);
    const { clock, monitor, reachable } = setup(engines, seed);
    for (const { id, failureDomain } of engines) {
      if (failureDomain === "a") reachable.delete(id);
    }
    t.false(await monitor.check(clock.monotonic()), `seed ${seed}`);
  }
});

test("connection that opened after a request began is enough", async (t) => {
  const { clock, monitor, tried } = setup(enginesIn("abc", 8));
  const before = clock.monotonic();
  clock.advance(1);
  monitor.recordConnected();
  t.false(await monitor.check(before));
  t.is(tried.length, 0);
  clock.advance(1);
  t.false(await monitor.check(clock.monotonic()));
  t.true(tried.length > 0);
});

test("checks at the same time try each engine once", async (t) => {
  const { clock, monitor, reachable, tried } = setup(enginesIn("abc", 8));
  reachable.clear();
  const now = clock.monotonic();
  const results = await Promise.all([monitor.check(now), monitor.check(now)]);
  t.deepEqual(results, [true, true]);
  t.is(new Set(tried).size, tried.length);
  monitor.dispose();
});

test("connection of a request ends the state at once", async (t) => {
  const { clock, monitor, reachable } = setup(enginesIn("a", 1));
  reachable.clear();
  t.true(await monitor.check(clock.monotonic()));
  monitor.recordConnected();
  t.false(monitor.isCutOff);
  monitor.dispose();
});

test("instance that knows no engine is not cut off", async (t) => {
  const { clock, monitor } = setup([]);
  t.false(await monitor.check(clock.monotonic()));
});
