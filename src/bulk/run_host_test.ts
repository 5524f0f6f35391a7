import { ok } from "neverthrow";
import test from "ava";
import { FakeLog } from "../../testing/fake_log.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IItemRun, ItemOutcome } from "./item_run.ts";
import {
  type ReportAnswer,
  reportRunsMethod,
  type RunDelta,
  runItemMethod,
} from "./messages.ts";
import { RunHost } from "./run_host.ts";

const ITEM = { id: "item", path: "/", headers: {}, body: "", tokens: 10 };

const HOST_ADDRESS = { id: "other", address: "other", port: 1 };

/**
 * Creates a store that hosts runs, and a leader whose answers to reports the
 * test determines.
 */
function setup() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(1));
  const leader = network.connect("leader", clock);
  const other = network.connect("other", clock);
  const log = new FakeLog();
  log.setLeadership(3, false);
  const control = {
    call: (method: never, params: never, options: never) =>
      other.call(
        { id: "leader", address: "leader", port: 1 },
        method,
        params,
        options,
      ),
  } as unknown as IControlClient;
  const runs: IItemRun[] = [];
  const ends: ((outcome: ItemOutcome) => void)[] = [];
  const host = new RunHost({
    store: "other",
    executor: {
      run: (_, run) => {
        runs.push(run);
        return new Promise((resolve) => {
          ends.push(resolve);
          run.signal.addEventListener(
            "abort",
            () => resolve({ kind: "stopped" }),
          );
        });
      },
    },
    section: { findOpenItem: () => undefined },
    leaving: { has: () => false },
    ...{ control, log, clock, server: other },
  });
  host.start();
  /** Deltas of the reports, and how the leader answers each. */
  const reports: RunDelta[][] = [];
  const leaderState = { answer: (): ReportAnswer => ({}) };
  leader.handle(reportRunsMethod, ({ deltas }) => {
    reports.push(deltas);
    return Promise.resolve(ok(leaderState.answer()));
  });
  /** Orders a run with the identifier `run`; resolves with its end. */
  const order = (term = 3) =>
    leader.call(HOST_ADDRESS, runItemMethod, {
      ...{ run: "run", term, host: "reports.example", item: ITEM },
      engine: listedEngine("engine-1"),
    }, { deadline: clock.deadlineIn(60_000) });
  return { time, network, log, runs, ends, reports, leaderState, order };
}

/** Adds an event with a line of data to a run. */
function receive(run: IItemRun | undefined, line: string): void {
  if (!run) return;
  run.progress.data.push(line);
  run.progress.lastEventId = `${run.progress.data.length}`;
}

// Guards against data that is never sent again although the leader dropped it.
test("data that the leader does not hold is sent again", async (t) => {
  const { time, runs, ends, reports, leaderState, order } = setup();
  leaderState.answer = () => ({
    term: 3,
    runs: [{ run: "run", heldLines: 1, isWanted: true }],
  });
  const answer = order();
  await time.advanceUntil("begun", () => runs.length === 1);
  receive(runs[0], "a");
  receive(runs[0], "b");
  await time.advanceUntil("reported", () => reports.length === 2);
  t.like(reports[0], [{ from: 0, data: ["a", "b"] }]);
  t.like(reports[1], [{ from: 1, data: ["b"] }]);
  receive(runs[0], "c");
  ends[0]?.({ kind: "complete" });
  await time.advance(20);
  const { delta } = (await answer)._unsafeUnwrap();
  t.like(delta, { from: 1, data: ["b", "c"] });
});

// Guards against lost data in a rolling upgrade: leaders of earlier versions
// answer in the same way whether they hold the data or not.
test("leader of an earlier version gets all data again", async (t) => {
  const { time, runs, ends, reports, order } = setup();
  const answer = order();
  await time.advanceUntil("begun", () => runs.length === 1);
  receive(runs[0], "a");
  await time.advanceUntil("reported", () => reports.length === 2);
  receive(runs[0], "b");
  ends[0]?.({ kind: "complete" });
  await time.advance(20);
  const { delta } = (await answer)._unsafeUnwrap();
  t.like(delta, { from: 0, data: ["a", "b"] });
});

// Guards against runs that go on at their engines after their leader has given
// them up, as any leader answers reports.
test("run that the leader does not know is stopped", async (t) => {
  const { time, runs, leaderState, order } = setup();
  leaderState.answer = () => ({ term: 3, runs: [] });
  const answer = order();
  await time.advanceUntil("begun", () => runs.length === 1);
  await time.advance(500);
  t.is((await answer)._unsafeUnwrap().outcome.kind, "stopped");
});

// Guards against runs that hold their slots until an order to stop arrives.
test("run that the leader no longer wants is stopped", async (t) => {
  const { time, runs, leaderState, order } = setup();
  const known = { run: "run", heldLines: 0 };
  leaderState.answer = () => ({
    term: 3,
    runs: [{ ...known, isWanted: true }],
  });
  const answer = order();
  await time.advanceUntil("begun", () => runs.length === 1);
  await time.advance(1_000);
  t.false(runs[0]?.signal.aborted);
  leaderState.answer = () => ({
    term: 3,
    runs: [{ ...known, isWanted: false }],
  });
  await time.advance(500);
  t.is((await answer)._unsafeUnwrap().outcome.kind, "stopped");
});

// Guards against runs that no leader waits for, ordered by one that was
// replaced while a partition held up the order.
test("run of an earlier term is not begun", async (t) => {
  const { time, runs, order } = setup();
  const answer = order(2);
  await time.advance(50);
  t.is((await answer)._unsafeUnwrap().outcome.kind, "abandoned");
  t.is(runs.length, 0);
});

test("answer of an earlier leader does not stop a run", async (t) => {
  const { time, runs, leaderState, order } = setup();
  leaderState.answer = () => ({ term: 2, runs: [] });
  void order();
  await time.advanceUntil("begun", () => runs.length === 1);
  await time.advance(1_000);
  t.false(runs[0]?.signal.aborted);
  // Its own leader is silent meanwhile.
  await time.advance(1_500);
  t.true(runs[0]?.signal.aborted);
});

test("run stops once a later leader answers", async (t) => {
  const { time, runs, leaderState, order } = setup();
  leaderState.answer = () => ({ term: 4, runs: [] });
  void order();
  await time.advanceUntil("begun", () => runs.length === 1);
  await time.advance(500);
  t.true(runs[0]?.signal.aborted);
});
