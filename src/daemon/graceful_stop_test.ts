import test from "ava";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import { GracefulStop, type IStoppedParts } from "./graceful_stop.ts";

const clock = new SystemClock();
const NEVER = new Promise<never>(() => {});

/** Parts that note what is asked of them. */
function parts(steps: string[], changed: Partial<IStoppedParts> = {}) {
  const note = (step: string) => {
    steps.push(step);
    return Promise.resolve();
  };
  return {
    membership: { setState: () => note("leaving") },
    log: undefined,
    callers: {
      listen: () => Promise.resolve(0),
      activeRequests: 1,
      drain: () => note("drain"),
      dispose: () => {},
    },
    batch: { stop: () => note("batch") },
    rest: { dispose: () => void note("rest") },
    ...changed,
  };
}

function stopOf(stopped: IStoppedParts, limitMilliseconds: number) {
  const limits = { noticeMilliseconds: 20, limitMilliseconds };
  const events = new SilentEventLog();
  return new GracefulStop(stopped, limits, { clock, events });
}

test("steps in order", async (t) => {
  const steps: string[] = [];
  const log = new FakeLog();
  const stop = stopOf(parts(steps, { log }), 60_000);
  t.false(stop.hasBegun);
  const first = stop.run();
  t.true(stop.hasBegun);
  await Promise.all([first, stop.run()]);
  t.deepEqual(steps, ["batch", "leaving", "drain", "rest"]);
  t.is(log.transferCount, 1);
});

test("nothing answers", async (t) => {
  const steps: string[] = [];
  const log = new FakeLog();
  log.stop = () => NEVER;
  log.transferLeadership = () => NEVER;
  const { callers } = parts(steps);
  const stop = stopOf(
    parts(steps, {
      log,
      membership: { setState: () => NEVER },
      batch: { stop: () => NEVER },
      callers: { ...callers, drain: () => NEVER },
    }),
    1_000,
  );
  await stop.run();
  t.deepEqual(steps, ["rest"]);
});

test("step that fails", async (t) => {
  const steps: string[] = [];
  const failing = () => Promise.reject(new Error("failed"));
  const stop = stopOf(parts(steps, { batch: { stop: failing } }), 60_000);
  await stop.run();
  t.deepEqual(steps, ["leaving", "drain", "rest"]);
});
