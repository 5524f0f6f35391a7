import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SteppingClock } from "../../testing/stepping_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { EngineHealth } from "./engine_health.ts";
import { EngineTable } from "./engine_table.ts";
import { LeavingEngines } from "./leaving_engines.ts";

const SERVICE = listedEngine("one").service;
const VERSION = listedEngine("one").softwareVersion;

/** How long there must have been one version. */
const LONG_MILLISECONDS = 15_000;

const OLD_LIST = { revision: "old", engines: [listedEngine("one")] };
const NEW_LIST = {
  revision: "new",
  engines: [
    listedEngine("one"),
    listedEngine("two", { softwareVersion: "v2" }),
  ],
};

function setup() {
  const clock = new SteppingClock();
  const events = new SilentEventLog();
  const health = new EngineHealth(clock, { events });
  const leaving = new LeavingEngines(clock, { events });
  const table = new EngineTable(clock, { events, health, leaving });
  clock.advance(100_000);
  /** An answer of a leader that has known the only version for long. */
  const answer = (
    changes: { milliseconds?: number; listAge?: number } = {},
  ) => {
    const requestedAt = clock.monotonic();
    const { revision } = table;
    const { milliseconds = 60_000, listAge = 0 } = changes;
    return () =>
      table.updateFromLeader({
        ...{ term: 1, requestedAt, revision, listAge },
        list: revision === OLD_LIST.revision ? undefined : OLD_LIST,
        soleVersions: [[SERVICE, VERSION, milliseconds]],
      });
  };
  const find = () => table.soleVersion(SERVICE, LONG_MILLISECONDS);
  return { clock, table, answer, find };
}

test("leader's report makes the only version certain", (t) => {
  const { answer, find } = setup();
  answer()();
  t.is(find(), VERSION);
});

// Guards against streams that go on at another software version: an answer that
// was on its way for long replaced a newer list.
test("list that was read earlier does not replace a later one", (t) => {
  const { clock, table, find } = setup();
  table.updateList(NEW_LIST, { age: 0, source: "platform" });
  clock.advance(100);
  table.updateList(OLD_LIST, { age: 200, source: "leader" });
  t.is(table.revision, NEW_LIST.revision);
  t.is(find(), undefined);
  table.updateList(OLD_LIST, { age: 0, source: "leader" });
  t.is(table.revision, OLD_LIST.revision);
});

// Guards against streams that go on at another software version: while this
// machine was cut off or stood still, the other version came and went.
test("answer from before a pause proves no version", (t) => {
  const { clock, table, answer, find } = setup();
  answer()();
  const late = answer();
  clock.advance(4_000);
  table.updateList(OLD_LIST, { age: 0, source: "platform" });
  t.is(find(), undefined);
  late();
  t.is(find(), undefined);
  answer()();
  t.is(find(), VERSION, "the leader has known it all the time");
});

test("answer about another list than the present one is ignored", (t) => {
  const { clock, table, answer } = setup();
  answer()();
  clock.advance(50);
  const late = answer();
  clock.advance(20);
  // Read by this instance before the leader was asked.
  table.updateList(NEW_LIST, { age: 50, source: "platform" });
  const { listReadAt } = table;
  late();
  t.is(table.revision, NEW_LIST.revision);
  t.is(table.listReadAt, listReadAt);
});

// Guards against the same: the monotonic clock does not count a suspension.
test("nothing from before a suspension proves a version", (t) => {
  const { clock, table, answer, find } = setup();
  answer()();
  const late = answer();
  clock.stepWall(4_000);
  t.is(find(), undefined, "versions may have come and gone");
  const { listReadAt } = table;
  clock.advance(10);
  late();
  t.is(table.listReadAt, listReadAt, "the age of the list is not known");
  t.is(find(), undefined);
  clock.advance(10);
  answer()();
  t.is(find(), VERSION);
});

// Guards against the same: the other version was listed between two lists that
// this machine has read.
test("version that only the leader has seen makes the others uncertain", (t) => {
  const { clock, answer, find } = setup();
  for (let passed = 0; passed < 20_000; passed += 1_000) {
    answer({ milliseconds: 60_000 + passed })();
    clock.advance(1_000);
  }
  t.is(find(), VERSION);
  answer({ milliseconds: 400 })();
  t.is(find(), undefined);
});
