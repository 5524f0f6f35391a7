import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import {
  type IBulkEngine,
  itemsBeyondMemory,
  planBulk,
  rankItems,
  startableWithinMemory,
} from "./bulk_schedule.ts";

function engine(
  id: string,
  load: {
    live: number;
    bulk: number;
    leaving?: boolean;
    suspect?: boolean;
    startable?: number;
  },
): IBulkEngine {
  const { live, bulk, leaving = false, suspect = false } = load;
  const { startable = Number.POSITIVE_INFINITY } = load;
  return {
    engine: listedEngine(id, { isLeaving: leaving }),
    live,
    bulk,
    isSuspect: suspect,
    startable,
  };
}

test("items fill free slots evenly, up to the reserve", (t) => {
  const engines = [
    engine("one", { live: 1, bulk: 0 }),
    engine("two", { live: 4, bulk: 0 }),
  ];
  const { starts, preemptions } = planBulk(engines, 100);
  t.is(starts.filter(({ id }) => id === "one").length, 7);
  t.is(starts.filter(({ id }) => id === "two").length, 3);
  t.is(starts[0]?.id, "one");
  t.is(preemptions.size, 0);
});

test("starts no more items than are waiting", (t) => {
  const engines = [engine("one", { live: 0, bulk: 0 })];
  t.is(planBulk(engines, 2).starts.length, 2);
});

test("preempts items only where live requests lack slots", (t) => {
  const engines = [
    engine("crowded", { live: 6, bulk: 4 }),
    engine("full", { live: 4, bulk: 4 }),
    engine("overrun", { live: 12, bulk: 2 }),
  ];
  const { starts, preemptions } = planBulk(engines, 10);
  t.deepEqual([...preemptions], [["crowded", 2], ["overrun", 2]]);
  t.is(starts.length, 0);
});

test("starts no item on leaving or suspect engines", (t) => {
  const engines = [
    engine("leaving", { live: 0, bulk: 0, leaving: true }),
    engine("failing", { live: 0, bulk: 0, suspect: true }),
  ];
  t.is(planBulk(engines, 10).starts.length, 0);
});

test("under overload, items that can meet their due time run first", (t) => {
  const item = (id: string, dueAt: number, remainingMilliseconds: number) => ({
    id,
    dueAt,
    remainingMilliseconds,
  });
  const items = [
    item("overdue, long", 9_000, 4_000),
    item("overdue, short", 8_000, 1_000),
    item("hopeless", 12_000, 5_000),
    item("relaxed", 30_000, 5_000),
    item("urgent", 15_000, 4_000),
    item("nearly done", 11_000, 900),
  ];
  t.deepEqual(rankItems(items, 10_000).map(({ id }) => id), [
    "nearly done",
    "urgent",
    "relaxed",
    "overdue, short",
    "overdue, long",
    "hopeless",
  ]);
});

test("items prefer engines with a limit, as far as it allows", (t) => {
  const engines = [
    engine("limited", { live: 2, bulk: 0, startable: 1 }),
    engine("used up", { live: 0, bulk: 0, startable: 0 }),
    engine("unlimited", { live: 0, bulk: 0 }),
  ];
  const { starts } = planBulk(engines, 3);
  t.deepEqual(starts.map(({ id }) => id), [
    "limited",
    "unlimited",
    "unlimited",
  ]);
});

// Long prompts of live requests come while items fill an engine's memory.
test("items give way so that the memory holds the live requests", (t) => {
  const use = { liveTokens: 60_000, memoryTokens: 100_000 };
  t.is(itemsBeyondMemory(use, [20_000, 20_000]), 0);
  t.is(itemsBeyondMemory(use, [20_000, 15_000, 20_000]), 1);
  t.is(itemsBeyondMemory({ ...use, liveTokens: 99_000 }, [20_000, 15_000]), 2);
  const unknown = { ...use, memoryTokens: undefined };
  t.is(itemsBeyondMemory(unknown, [90_000]), 0);
});

test("items start only where the memory holds the largest one", (t) => {
  const use = { liveTokens: 60_000, memoryTokens: 100_000 };
  const items = { runningTokens: 10_000, largestTokens: 12_000 };
  t.is(startableWithinMemory(use, items), 2);
  t.is(startableWithinMemory({ ...use, liveTokens: 95_000 }, items), 0);
  const unknown = { ...use, memoryTokens: undefined };
  t.is(startableWithinMemory(unknown, items), Infinity);
});
