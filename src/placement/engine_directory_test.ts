import { setImmediate } from "node:timers/promises";
import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SteppingClock } from "../../testing/stepping_clock.ts";
import { unlimitedEngines } from "../../testing/unlimited_engines.ts";
import { SilentEventLog } from "../events/mod.ts";
import { EngineDirectory } from "./engine_directory.ts";

const READ_INTERVAL_MILLISECONDS = 700;

// Guards against streams that go on at another software version: a leader that
// was suspended reported an old list as current.
test("leader that was suspended does not know the age of its list", async (t) => {
  const clock = new SteppingClock();
  const engine = listedEngine("one");
  const directory = new EngineDirectory({
    list: { read: () => Promise.resolve([engine]) },
    probe: { check: () => Promise.resolve() },
    events: new SilentEventLog(),
    suspectCounts: () => new Map(),
    limiter: unlimitedEngines,
    onHealthy: () => {},
    clock,
  });
  t.teardown(() => directory.dispose());
  const readAgain = async () => {
    clock.advance(READ_INTERVAL_MILLISECONDS);
    for (let turn = 0; turn < 5; turn++) await setImmediate();
  };
  clock.advance(1_000);
  directory.start();
  for (let count = 0; count < 30; count++) await readAgain();
  t.true(directory.listAge < READ_INTERVAL_MILLISECONDS);
  const known = directory.soleVersions[0]?.[2] ?? 0;
  t.true(known > 15_000);
  clock.stepWall(4_000);
  t.true(directory.listAge > 60_000);
  t.deepEqual(directory.soleVersions, []);
  await readAgain();
  t.true(directory.listAge < READ_INTERVAL_MILLISECONDS);
  t.true((directory.soleVersions[0]?.[2] ?? 0) < 5_000);
});
