import test from "ava";
import { FakeLog } from "../../testing/fake_log.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { LeavingEngines } from "../placement/mod.ts";
import type { IItemExecutor, IItemProgress } from "./item_run.ts";
import { RunHost } from "./run_host.ts";
import { StoreExecutor } from "./store_executor.ts";

const TERM = 3;

const SEEDS = 25;

/** Lines of data of a whole item, one for each event. */
const LINES = Array.from({ length: 60 }, (_, index) => `line ${index}`);

const MAXIMUM_EVENT_INTERVAL_MILLISECONDS = 60;

/** Time after which a store has stopped all runs that nobody wants. */
const STOPPED_MILLISECONDS = 5_000;

const ITEM = { id: "item", path: "/", headers: {}, body: "", tokens: 100 };

function address(id: string) {
  return { id, address: id, port: 1 };
}

/** Executor that receives the events of an item after the last one. */
function createEngine(clock: VirtualClock, random: TestRandom) {
  const state = { running: 0 };
  const executor: IItemExecutor = {
    run: async (_, { progress, signal }) => {
      state.running += 1;
      for (
        let next = Number(progress.lastEventId ?? 0);
        next < LINES.length;
        next++
      ) {
        await clock.sleepUntil(
          clock.deadlineIn(
            random.integer(1, MAXIMUM_EVENT_INTERVAL_MILLISECONDS),
          ),
          signal,
        );
        if (signal.aborted) break;
        progress.data.push(LINES[next] ?? "");
        progress.lastEventId = `${next + 1}`;
      }
      state.running -= 1;
      return { kind: signal.aborted ? "stopped" : "complete" };
    },
  };
  return { executor, state };
}

/** Runs an item on another store until it is complete, preempting it at times. */
async function runItem(seed: number) {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const random = new TestRandom(seed);
  const network = new FakeNetwork(time, random);
  network.latePercent = 15;
  network.lateMilliseconds = 2_500;
  network.lossPercent = 3;
  const leader = network.connect("leader", clock);
  const other = network.connect("other", clock);
  const events = new SilentEventLog();
  const log = new FakeLog();
  log.setLeadership(TERM, false);
  const control = {
    call: (method: never, params: never, options: never) =>
      other.call(address("leader"), method, params, options),
  } as unknown as IControlClient;
  const engine = createEngine(clock, random);
  const host = new RunHost({
    ...{ store: "other", executor: engine.executor, server: other },
    ...{ control, log, clock },
    section: { findOpenItem: () => undefined },
    leaving: { has: () => false },
  });
  host.start();
  const executor = new StoreExecutor({
    local: { run: () => Promise.reject(new Error("no run is local")) },
    ...{ rpc: leader, server: leader, clock, events, term: TERM },
    leaving: new LeavingEngines(clock, { events }),
    stores: () => [address("other")],
    entryCount: () => 100,
  });
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const result = { isComplete: false, violations: [] as string[] };
  const runUntilComplete = async () => {
    while (!result.isComplete) {
      const abort = new AbortController();
      const preemption = clock.deadlineIn(random.integer(100, 4_000));
      void clock.sleepUntil(preemption).then(() => abort.abort());
      const run = { item: ITEM, host: "reports.example", progress };
      const outcome = await executor.run(listedEngine("engine-1"), {
        ...run,
        signal: abort.signal,
      });
      result.isComplete = outcome.kind === "complete";
      // A store is avoided for a while after it was unreachable.
      await clock.sleepUntil(clock.deadlineIn(2_500));
    }
  };
  void runUntilComplete();
  let held = 0;
  const check = () => {
    const { data } = progress;
    const isPrefix = data.every((line, index) => line === LINES[index]);
    if (!isPrefix) result.violations.push("the text is not the item's");
    if (data.length < held) result.violations.push("data was removed");
    held = data.length;
  };
  for (let step = 0; step < 1_000 && !result.isComplete; step++) {
    await time.advance(100, check);
  }
  await time.advance(STOPPED_MILLISECONDS, check);
  if (held < LINES.length) result.violations.push("the text lacks its end");
  if (engine.state.running > 0) result.violations.push("a run has not stopped");
  host.dispose();
  executor.dispose();
  return result;
}

// Guards against results that are not whole, whatever messages between stores
// arrive late, in another order or not at all.
test("item is whole although messages arrive late or never", async (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { isComplete, violations } = await runItem(seed);
    t.true(isComplete, `seed ${seed}: complete`);
    t.deepEqual([...new Set(violations)], [], `seed ${seed}`);
  }
});
