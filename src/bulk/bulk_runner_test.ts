import test from "ava";
import { unlimitedEngines } from "../../testing/unlimited_engines.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { EngineHealth, type ListedEngine } from "../placement/mod.ts";
import { type Route, RouteTable } from "../service_routes/mod.ts";
import { BulkRunner } from "./bulk_runner.ts";
import { BulkSection } from "./bulk_section.ts";
import type { IItemRun, ItemOutcome } from "./item_run.ts";

const ROUTE: Route = {
  name: "reports",
  host: "reports.example",
  pathPrefix: "/",
  kind: "bulk",
  timeoutMilliseconds: 1_000,
  objectiveMilliseconds: 500,
  priority: 1,
  shares: [{ service: "writer", weight: 1 }],
  attempts: 3,
  isResumable: true,
};

const JOB = {
  id: "job",
  host: "reports.example",
  path: "/1",
  items: [{
    id: "item",
    path: "/1",
    headers: {},
    body: "",
    tokens: 10,
  }],
};

/** Run of an item that the test ends. */
interface IStartedRun {
  readonly engine: string;
  readonly lastEventId: string | undefined;
  /** Adds the data of events, then ends the run. */
  end(outcome: ItemOutcome, data?: string[]): void;
}

function createFixture(engines: ListedEngine[], job = JOB) {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const events = new SilentEventLog();
  const section = new BulkSection();
  const log = new FakeLog([section]);
  const health = new EngineHealth(clock, { events });
  const routes = new RouteTable({
    version: 1,
    routes: [ROUTE],
    services: [{ name: "writer", healthPath: "/health", slots: 8 }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    source: "",
  });
  const runs: IStartedRun[] = [];
  const listed = { engines };
  /** Number of plans, and how long each takes, in milliseconds. */
  const planning = { count: 0, milliseconds: 0 };
  const runner = new BulkRunner({
    limiter: unlimitedEngines,
    ...{ log, section, clock, events },
    health,
    executor: {
      run: (engine, { progress }: IItemRun) =>
        new Promise((resolve) => {
          runs.push({
            engine: engine.id,
            lastEventId: progress.lastEventId,
            end(outcome, data = []) {
              for (const text of data) {
                progress.data.push(text);
                progress.lastEventId = String(progress.data.length);
              }
              resolve(outcome);
            },
          });
        }),
    },
    routes: () => routes,
    jobRetentionMilliseconds: 60_000,
    isLoadKnown: () => true,
    engines: () => {
      planning.count += 1;
      time.now += planning.milliseconds;
      return listed.engines.map((engine) => ({
        engine,
        live: 0,
        liveTokens: 0,
        memoryTokens: undefined,
        isSuspect: health.isSuspect(engine.id),
      }));
    },
  });
  section.apply({ kind: "submit", job }, {
    ...{ index: 1, term: 1, proposedAt: 0 },
  });
  runner.start();
  return { time, runs, runner, section, listed, planning };
}

const BROKEN = { kind: "broken", reason: "connection reset" } as const;

function engine(id: string, softwareVersion: string): ListedEngine {
  return listedEngine(id, { softwareVersion });
}

// Guards against results with events of two software versions (inc-defd).
test("item starts again when no engine of its version is left", async (t) => {
  const { time, runs, runner, section, listed } = createFixture([
    engine("old", "v1"),
  ]);
  await time.advanceUntil("first run", () => runs.length === 1);
  runs[0]?.end(BROKEN, ["old 1", "old 2"]);
  listed.engines = [];
  // The progress is committed to the log before the item starts again.
  await time.advance(1_500);
  t.is(section.progress("job", "item")?.data.length, 2);
  listed.engines = [engine("new", "v2")];
  await time.advanceUntil("second run", () => runs.length === 2);
  t.is(runs[1]?.lastEventId, undefined);
  runs[1]?.end({ kind: "complete" }, ["new 1"]);
  await time.advanceUntil("result", () => section.hasResult("job", "item"));
  t.is(section.job("job")?.results[0]?.text, "new 1");
  runner.dispose();
});

// Guards against results with events of two software versions (inc-defd).
test("item resumes at the version that began it while it serves", async (t) => {
  const { time, runs, runner, listed } = createFixture([engine("one", "v1")]);
  await time.advanceUntil("first run", () => runs.length === 1);
  runs[0]?.end(BROKEN, ["first"]);
  listed.engines = [engine("new", "v2"), engine("same", "v1")];
  await time.advanceUntil("second run", () => runs.length === 2);
  t.is(runs[1]?.engine, "same");
  t.is(runs[1]?.lastEventId, "1");
  runner.dispose();
});

// Guards against items that are given up or held because engines crashed, by
// the fault of another request, while they ran (inc-675b).
test("item under which engine after engine crashed is still run", async (t) => {
  const engines = Array.from(
    { length: 9 },
    (_, index) => engine(`engine-${index}`, "v1"),
  );
  const { time, runs, runner, section } = createFixture(engines);
  const broken: number[] = [];
  const breakRunsFor = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      await time.advance(100);
      const begun = runs.slice(broken.length);
      for (const run of begun) {
        run.end({ ...BROKEN, isBrokenOff: true });
        broken.push(time.now);
      }
    }
  };
  await breakRunsFor(20_000);
  t.true(runs.length >= 5);
  t.true(runs.length <= 12, `${runs.length} runs`);
  await breakRunsFor(60_000);
  t.true(broken.filter((at) => at > 20_000).length >= 9);
  await time.advanceUntil("next run", () => runs.length > broken.length);
  runs.at(-1)?.end({ kind: "complete" }, ["done"]);
  await time.advanceUntil("result", () => section.hasResult("job", "item"));
  runner.dispose();
});

// Guards against a leader of many waiting items that does nothing but plan, and
// loses its leadership.
test("long plans leave most of the time for other work", async (t) => {
  const { time, planning } = createFixture([engine("one", "v1")]);
  await time.advance(1_000);
  t.true(planning.count > 30, "short plans are made often");
  planning.milliseconds = 100;
  planning.count = 0;
  await time.advance(10_000);
  t.true(planning.count >= 15 && planning.count <= 25);
});

test("process that was frozen during a plan soon plans again", async (t) => {
  const { time, planning } = createFixture([engine("one", "v1")]);
  planning.milliseconds = 10_000;
  await time.advance(10_100);
  planning.milliseconds = 0;
  planning.count = 0;
  await time.advance(1_000);
  t.true(planning.count > 10);
});

// Guards against results with events of an engine that never ends its answer.
test("item starts again after an answer beyond its tokens", async (t) => {
  const { time, runs, runner, section } = createFixture([
    engine("endless", "v1"),
    engine("sound", "v1"),
  ]);
  await time.advanceUntil("first run", () => runs.length === 1);
  const excess = { ...BROKEN, isExcessive: true };
  runs[0]?.end(excess, Array.from({ length: 40 }, () => "rubbish"));
  await time.advanceUntil("second run", () => runs.length === 2);
  t.not(runs[1]?.engine, runs[0]?.engine);
  t.is(runs[1]?.lastEventId, undefined);
  runs[1]?.end({ kind: "complete" }, ["word"]);
  await time.advanceUntil("result", () => section.hasResult("job", "item"));
  t.is(section.job("job")?.results[0]?.text, "word");
  runner.dispose();
});

// Guards against too many requests at an engine in a partition.
test("item does not start in a slot whose run does not stop", async (t) => {
  // One of the two slots stays free for live requests.
  const one = listedEngine("one", { slots: 2 });
  const [item] = JOB.items;
  const items = [{ ...item!, id: "first" }, { ...item!, id: "second" }];
  const { time, runs, runner, listed } = createFixture([one], {
    ...JOB,
    items,
  });
  await time.advanceUntil("first run", () => runs.length === 1);
  listed.engines = [];
  const load = { engine: one, live: one.slots, liveTokens: 0 };
  runner.preemptBatchItems({ ...load, memoryTokens: undefined });
  await time.advance(200);
  listed.engines = [one];
  await time.advance(1_000);
  t.is(runs.length, 1);
  runs[0]?.end({ kind: "stopped" });
  await time.advanceUntil("second run", () => runs.length === 2);
  runner.dispose();
});
