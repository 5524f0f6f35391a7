import { err, ok, type Result } from "neverthrow";
import test from "ava";
import { FakeLog } from "../../testing/fake_log.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { EngineLimits } from "../admission/mod.ts";
import { BulkSection, type IItemRun } from "../bulk/mod.ts";
import { type Failure, notRun } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { LeavingEngines, LoadLedger } from "../placement/mod.ts";
import { PartJudge } from "../quarantine/mod.ts";
import { RoutesHolder, RoutesSection } from "../service_routes/mod.ts";
import { LeaderDuties } from "./leader_duties.ts";

const ROUTES = {
  version: 1,
  routes: [{
    name: "reports",
    host: "reports.example",
    pathPrefix: "/",
    kind: "bulk" as const,
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 500,
    priority: 1,
    shares: [{ service: "writer", weight: 1 }],
    attempts: 3,
    isResumable: true,
  }],
  services: [{ name: "writer", healthPath: "/health", slots: 8 }],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
  source: "",
};

const ENGINE = listedEngine("engine-1");

const JOB = {
  id: "job",
  host: "reports.example",
  path: "/1",
  items: [{ id: "item", path: "/1", headers: {}, body: "", tokens: 10 }],
};

const CONTEXT = { index: 1, term: 1, proposedAt: 0 };

/** Time after submission for which a job can be read. */
const RETENTION_MILLISECONDS = 5_000;

/** Added to the retention because clocks of stores may differ and jump. */
const CLOCK_MARGIN_MILLISECONDS = 60_000;

/** Log whose barrier fails until the test sets `isApplied`. */
class UnappliedLog extends FakeLog {
  isApplied = false;

  override barrier(): Promise<Result<void, Failure>> {
    const late = notRun("unavailable", "entries were not applied in time");
    return Promise.resolve(this.isApplied ? ok(undefined) : err(late));
  }
}

function createFixture() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const endpoint = new FakeNetwork(time, new TestRandom(1))
    .connect("store", clock);
  const events = new SilentEventLog();
  const routesSection = new RoutesSection();
  const bulkSection = new BulkSection();
  const log = new UnappliedLog([routesSection, bulkSection]);
  const routes = new RoutesHolder({ events });
  routesSection.onAccepted((set) => routes.setIfNewer(set));
  const runs: IItemRun[] = [];
  const duties = new LeaderDuties({
    ...{ log, routesSection, bulkSection, routes, clock, events },
    ledger: new LoadLedger(clock),
    list: { read: () => Promise.resolve([ENGINE]) },
    probe: { check: () => Promise.resolve() },
    judge: new PartJudge(clock, { events }),
    leaving: new LeavingEngines(clock, { events }),
    engineLimits: new EngineLimits(clock, { events }),
    executor: {
      run: (_, run) => {
        runs.push(run);
        return new Promise(() => {});
      },
    },
    rpc: endpoint,
    server: endpoint,
    jobRetentionMilliseconds: RETENTION_MILLISECONDS,
    peerPort: 1,
    storeId: "store",
  });
  return { time, log, duties, runs, routesSection, bulkSection };
}

test("after a restart, duties start once the log is applied", async (t) => {
  const { time, log, duties, runs, routesSection, bulkSection } =
    createFixture();
  log.setLeadership(1, true);
  await time.advance(100);
  t.is(duties.leaderState, undefined);
  // Entries are applied one by one: a job, then the progress of its item.
  routesSection.apply({ routes: ROUTES });
  bulkSection.apply({ kind: "submit", job: JOB }, CONTEXT);
  await time.advance(100);
  t.is(runs.length, 0);
  const delta = { job: "job", item: "item", from: 0, lastEventId: "2" };
  bulkSection.apply({
    kind: "progress",
    deltas: [{ ...delta, data: ["a", "b"] }],
  }, CONTEXT);
  log.isApplied = true;
  await time.advanceUntil("started", () => runs.length === 1);
  t.deepEqual(runs[0]?.progress.data, ["a", "b"]);
  t.is(runs[0]?.progress.lastEventId, "2");
  t.is(duties.leaderState?.routes?.version, 1);
  duties.dispose();
});

test("leadership lost before the barrier starts no duties", async (t) => {
  const { time, log, duties, runs, bulkSection } = createFixture();
  log.setLeadership(1, true);
  bulkSection.apply({ kind: "submit", job: JOB }, CONTEXT);
  await time.advance(50);
  log.setLeadership(2, false);
  log.isApplied = true;
  await time.advance(500);
  t.is(duties.leaderState, undefined);
  t.is(runs.length, 0);
  duties.dispose();
});

test("ended jobs are removed after their retention", async (t) => {
  const { time, log, duties, routesSection, bulkSection } = createFixture();
  log.isApplied = true;
  log.setLeadership(1, true);
  routesSection.apply({ routes: ROUTES });
  bulkSection.apply({ kind: "submit", job: JOB }, CONTEXT);
  const open = { ...JOB, id: "open" };
  bulkSection.apply({ kind: "submit", job: open }, CONTEXT);
  bulkSection.apply({ kind: "end", job: "job" }, CONTEXT);
  await time.advance(
    RETENTION_MILLISECONDS + CLOCK_MARGIN_MILLISECONDS - 1_000,
  );
  t.truthy(bulkSection.job("job"));
  await time.advance(3_000);
  t.is(bulkSection.job("job"), undefined);
  t.truthy(bulkSection.job("open"));
  duties.dispose();
});
