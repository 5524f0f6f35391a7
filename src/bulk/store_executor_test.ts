import { ok } from "neverthrow";
import test from "ava";
import { FakeLog } from "../../testing/fake_log.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { LeavingEngines } from "../placement/mod.ts";
import type { IItemExecutor, IItemRun, ItemOutcome } from "./item_run.ts";
import { RunHost } from "./run_host.ts";
import { StoreExecutor } from "./store_executor.ts";
import { EMPTY_REQUEST, type HeldItem } from "./types.ts";

/** Number of local runs at which the leader starts to use other stores. */
const LOCAL_RUN_THRESHOLD = 48;

const ENGINE = listedEngine("engine-1");

const ITEM = { id: "item", path: "/", headers: {}, body: "", tokens: 10 };

/** Executor whose runs the test ends. */
class ManualExecutor implements IItemExecutor {
  readonly runs: IItemRun[] = [];
  readonly #ends: ((outcome: ItemOutcome) => void)[] = [];

  run(_: unknown, run: IItemRun): Promise<ItemOutcome> {
    this.runs.push(run);
    return new Promise((resolve) => {
      this.#ends.push(resolve);
      run.signal.addEventListener("abort", () => resolve({ kind: "stopped" }));
    });
  }

  end(position: number, outcome: ItemOutcome): void {
    this.#ends[position]?.(outcome);
  }
}

/**
 * Creates a leader with the threshold of local runs, and another store.
 *
 * @param entries number of entries whose requests the leader places.
 */
function setup(entries = 0) {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(1));
  const leader = network.connect("leader", clock);
  const other = network.connect("other", clock);
  const address = (id: string) => ({ id, address: id, port: 1 });
  const leaving = new LeavingEngines(clock, { events: new SilentEventLog() });
  const leaderLeaving = new LeavingEngines(clock, {
    events: new SilentEventLog(),
  });
  const own = new ManualExecutor();
  const hosted = new ManualExecutor();
  const log = new FakeLog();
  log.setLeadership(3, false);
  const control = {
    call: (method: never, params: never, options: never) =>
      other.call(address("leader"), method, params, options),
    propose: () => Promise.resolve(ok(undefined)),
  } as unknown as IControlClient;
  /** Items of the jobs that the other store has applied, by identifier. */
  const applied = new Map<string, HeldItem>();
  const host = new RunHost({
    store: "other",
    executor: hosted,
    section: { findOpenItem: (_, item) => applied.get(item) },
    ...{ control, log, clock, leaving },
    server: other,
  });
  host.start();
  const executor = new StoreExecutor({
    local: own,
    rpc: leader,
    server: leader,
    clock,
    events: new SilentEventLog(),
    term: 3,
    leaving: leaderLeaving,
    stores: () => [address("other")],
    entryCount: () => entries,
  });
  const runOf = (
    signal = new AbortController().signal,
    data: string[] = [],
  ) => ({
    item: ITEM,
    host: "reports.example",
    progress: {
      data,
      lastEventId: data.length > 0 ? String(data.length) : undefined,
    },
    signal,
  });
  for (let count = 0; count < LOCAL_RUN_THRESHOLD; count++) {
    void executor.run(ENGINE, runOf());
  }
  return { time, network, own, hosted, log, executor, runOf, applied };
}

/** Adds events to the progress of a run. */
function receive(run: IItemRun | undefined, words: string[]): void {
  for (const word of words) run?.progress.data.push(word);
  if (run) run.progress.lastEventId = String(run.progress.data.length);
}

test("runs beyond the local threshold go to another store", async (t) => {
  const { time, own, hosted, executor, runOf } = setup();
  const run = runOf(undefined, ["a", "b"]);
  const outcome = executor.run(ENGINE, run);
  await time.advanceUntil("hosted", () => hosted.runs.length === 1);
  t.is(own.runs.length, LOCAL_RUN_THRESHOLD);
  t.is(hosted.runs[0]?.progress.lastEventId, "2");
  hosted.runs[0]?.progress.data.push("c");
  hosted.runs[0]!.progress.lastEventId = "3";
  await time.advanceUntil("reported", () => run.progress.data.length === 3);
  t.is(run.progress.lastEventId, "3");
  hosted.runs[0]?.progress.data.push("d");
  hosted.runs[0]!.progress.lastEventId = "4";
  hosted.end(0, { kind: "complete" });
  await time.advance(50);
  t.is((await outcome).kind, "complete");
  t.deepEqual(run.progress.data, ["a", "b", "c", "d"]);
  t.is(run.progress.lastEventId, "4");
});

// Guards against a leader that reads so many items' events that it answers
// neither entries nor operators in time (denied-short).
test("leader of many entries leaves runs to other stores", async (t) => {
  const some = setup(13);
  await some.time.advance(50);
  t.is(some.own.runs.length, LOCAL_RUN_THRESHOLD - 13);
  t.is(some.hosted.runs.length, 13);
  const many = setup(98);
  await many.time.advance(50);
  t.is(many.own.runs.length, 0);
  t.is(many.hosted.runs.length, LOCAL_RUN_THRESHOLD);
});

test("aborting a run also stops it on another store", async (t) => {
  const { time, hosted, executor, runOf } = setup();
  const abort = new AbortController();
  const run = runOf(abort.signal);
  const outcome = executor.run(ENGINE, run);
  await time.advanceUntil("hosted", () => hosted.runs.length === 1);
  receive(hosted.runs[0], ["a"]);
  abort.abort();
  await time.advance(50);
  t.is((await outcome).kind, "stopped");
  t.deepEqual(run.progress.data, ["a"]);
});

test("runs of an unreachable store are abandoned; it gets none", async (t) => {
  const { time, network, own, hosted, executor, runOf } = setup();
  const outcome = executor.run(ENGINE, runOf());
  await time.advanceUntil("hosted", () => hosted.runs.length === 1);
  network.isolated.add("other");
  await time.advance(2_500);
  t.is((await outcome).kind, "abandoned");
  void executor.run(ENGINE, runOf());
  t.is(own.runs.length, LOCAL_RUN_THRESHOLD + 1);
  t.true(hosted.runs[0]?.signal.aborted, "the store stops the run by itself");
});

test("runs of an earlier term stop when the leader changes", async (t) => {
  const { time, hosted, log, executor, runOf } = setup();
  void executor.run(ENGINE, runOf());
  await time.advanceUntil("hosted", () => hosted.runs.length === 1);
  log.setLeadership(3, false);
  t.false(hosted.runs[0]?.signal.aborted);
  log.setLeadership(4, false);
  t.true(hosted.runs[0]?.signal.aborted);
});

// Guards against messages as large as the requests, for each run.
test("request in a file is not sent to the store that runs it", async (t) => {
  const { time, hosted, executor, runOf, applied } = setup();
  const location = { job: "job", file: "1", offset: 0, length: 9 };
  const { tokens } = ITEM;
  const item = { ...EMPTY_REQUEST, id: "stored", tokens, stored: location };
  const missing = executor.run(ENGINE, { ...runOf(), item });
  await time.advance(50);
  t.like(await missing, { kind: "abandoned" }, "it is not applied there yet");
  // The store is avoided for a while.
  await time.advance(2_000);
  const stored = { ...location, file: "2" };
  applied.set("stored", { ...item, stored });
  const outcome = executor.run(ENGINE, { ...runOf(), item });
  await time.advanceUntil("hosted", () => hosted.runs.length === 1);
  t.deepEqual(hosted.runs[0]?.item.stored, stored);
  hosted.end(0, { kind: "complete" });
  await time.advance(50);
  t.is((await outcome).kind, "complete");
});

// Guards against results that grow beyond what a store would accept itself, as
// each run at another store may add to those before.
test("data of all runs of an item stays within its bounds", async (t) => {
  const { time, hosted, executor, runOf } = setup();
  const run = runOf(undefined, ["x".repeat(20_000)]);
  const outcome = executor.run(ENGINE, run);
  await time.advanceUntil("hosted", () => hosted.runs.length === 1);
  receive(hosted.runs[0], ["x".repeat(20_000)]);
  hosted.end(0, { kind: "complete" });
  await time.advance(50);
  t.like(await outcome, { kind: "broken", isExcessive: true });
});
