import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { LeavingEngines } from "./leaving_engines.ts";

function createFixture() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const leaving = new LeavingEngines(clock, { events: new SilentEventLog() });
  return { time, leaving };
}

test("announcement holds while the list calls the engine ready", async (t) => {
  const { time, leaving } = createFixture();
  const engine = listedEngine("one");
  leaving.updateList([engine]);
  leaving.announce("one", "answer");
  for (let read = 0; read < 5; read++) {
    await time.advance(60_000);
    leaving.updateList([engine]);
  }
  t.true(leaving.withAnnouncement(engine).isLeaving);
});

test("engine missing from a list for a moment stays announced", async (t) => {
  const { time, leaving } = createFixture();
  leaving.updateList([listedEngine("one")]);
  leaving.announce("one", "answer");
  await time.advance(120_000);
  leaving.updateList([]);
  leaving.updateList([listedEngine("one")]);
  t.true(leaving.has("one"));
});

test("engine that is gone is forgotten", async (t) => {
  const { time, leaving } = createFixture();
  leaving.updateList([listedEngine("one")]);
  leaving.announce("one", "answer");
  leaving.updateList([]);
  await time.advance(61_000);
  leaving.updateList([]);
  t.deepEqual(leaving.ids(), []);
});

test("engine that starts again under its id is used again", (t) => {
  const { leaving } = createFixture();
  leaving.updateList([listedEngine("one", { bornAt: 1 })]);
  leaving.announce("one", "answer");
  leaving.updateList([listedEngine("one", { bornAt: 1 })]);
  t.true(leaving.has("one"));
  leaving.updateList([listedEngine("one", { bornAt: 2 })]);
  t.false(leaving.has("one"));
});

test("another engine at the same address starts clean", (t) => {
  const { leaving } = createFixture();
  leaving.announce("one", "answer");
  const successor = listedEngine("two");
  t.is(leaving.withAnnouncement(successor), successor);
});
