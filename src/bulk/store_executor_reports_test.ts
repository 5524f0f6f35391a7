import test from "ava";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { ScriptedStore } from "../../testing/scripted_store.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { LeavingEngines } from "../placement/mod.ts";
import type { IItemProgress } from "./item_run.ts";
import { StoreExecutor } from "./store_executor.ts";

const ITEM = { id: "item", path: "/", headers: {}, body: "", tokens: 10 };

/** Entries for which a leader leaves all runs to other stores. */
const MANY_ENTRIES = 100;

/** Starts a run that the leader of term 3 leaves to another store. */
async function startRun() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(1));
  const leader = network.connect("leader", clock);
  const store = new ScriptedStore(network.connect("other", clock));
  const events = new SilentEventLog();
  const executor = new StoreExecutor({
    local: { run: () => Promise.reject(new Error("no run is local")) },
    ...{ rpc: leader, server: leader, clock, events, term: 3 },
    leaving: new LeavingEngines(clock, { events }),
    stores: () => [{ id: "other", address: "other", port: 1 }],
    entryCount: () => MANY_ENTRIES,
  });
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const abort = new AbortController();
  const outcome = executor.run(listedEngine("engine-1"), {
    ...{ item: ITEM, host: "reports.example", progress },
    signal: abort.signal,
  });
  await time.advanceUntil("ordered", () => store.runs.length === 1);
  return { time, network, store, progress, abort, outcome };
}

/** Starts a report, and gives it and its answer time to arrive. */
async function deliver<T>(time: VirtualTime, call: Promise<T>): Promise<T> {
  await time.advance(20);
  return await call;
}

// Guards against results that lack the end of their text, after a report that
// a partition has held up.
test("report that arrives late removes no data", async (t) => {
  const { time, store, progress, outcome } = await startRun();
  await deliver(time, store.report(0, ["a", "b", "c"]));
  await deliver(time, store.report(0, ["a"]));
  t.deepEqual(progress.data, ["a", "b", "c"]);
  t.is(progress.lastEventId, "3");
  store.end({ kind: "complete" }, 3, ["d"]);
  t.is((await deliver(time, outcome)).kind, "complete");
  t.deepEqual(progress.data, ["a", "b", "c", "d"]);
});

test("report that arrives after the outcome has no effect", async (t) => {
  const { time, store, progress, outcome } = await startRun();
  store.end({ kind: "complete" }, 0, ["a", "b"]);
  t.is((await deliver(time, outcome)).kind, "complete");
  await deliver(time, store.report(0, ["a"]));
  t.deepEqual(progress.data, ["a", "b"]);
});

// Guards against results that lack the middle of their text, after a report
// whose data the leader has not received.
test("outcome after a gap does not complete the item", async (t) => {
  const { time, store, progress, outcome } = await startRun();
  await deliver(time, store.report(0, ["a"]));
  store.end({ kind: "complete" }, 2, ["c"]);
  t.is((await deliver(time, outcome)).kind, "abandoned");
  t.deepEqual(progress, { data: ["a"], lastEventId: "1" });
});

// Guards against a store that never sends data again that the leader dropped.
test("answer to a report tells which data is held", async (t) => {
  const { time, store } = await startRun();
  const [run] = store.runs;
  const held = async (call: ReturnType<typeof store.report>) =>
    (await deliver(time, call))._unsafeUnwrap();
  const isWanted = true;
  t.deepEqual(await held(store.report(0, ["a", "b"])), {
    ...{ term: 3, runs: [{ run: run!, heldLines: 2, isWanted }] },
  });
  t.like(await held(store.report(3, ["d"])), { runs: [{ heldLines: 2 }] });
  t.like(await held(store.report(2, ["c"])), { runs: [{ heldLines: 3 }] });
});

// Guards against items that hold their slot for seconds after a partition,
// because the only order to stop them was lost.
test("order to stop is repeated until the run has ended", async (t) => {
  const { time, network, store, abort, outcome } = await startRun();
  network.isolated.add("other");
  abort.abort();
  await time.advance(1_000);
  network.isolated.delete("other");
  await time.advance(300);
  t.true(store.stops.length > 0, "an order has arrived");
  await time.advance(300);
  t.true(store.stops.length > 1, "the run may have begun after the first one");
  store.end({ kind: "stopped" }, 0, ["a"]);
  t.is((await deliver(time, outcome)).kind, "stopped");
  await time.advance(300);
  const count = store.stops.length;
  await time.advance(2_000);
  t.is(store.stops.length, count);
});

// Guards against items that wait for minutes for a run that its store has lost.
test("run that its store no longer reports is abandoned", async (t) => {
  const { time, store, outcome } = await startRun();
  await deliver(time, store.report(0, ["a"]));
  for (let count = 0; count < 5; count++) {
    await deliver(time, store.reportOther());
    await time.advance(400);
  }
  t.like(await outcome, { kind: "abandoned" });
});
