import test from "ava";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import { GracefulStop, type IStoppableComponents } from "./graceful_stop.ts";

const clock = new SystemClock();
const NEVER = new Promise<never>(() => {});

/** Fake components that record the steps called on them. */
function createComponents(
  steps: string[],
  overrides: Partial<IStoppableComponents> = {},
) {
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
    resources: { dispose: () => void note("rest") },
    ...overrides,
  };
}

function createStop(stopped: IStoppableComponents, limitMilliseconds: number) {
  const limits = { noticeMilliseconds: 20, limitMilliseconds };
  const events = new SilentEventLog();
  return new GracefulStop(stopped, limits, { clock, events });
}

test("runs the steps in order, once", async (t) => {
  const steps: string[] = [];
  const log = new FakeLog();
  const stop = createStop(createComponents(steps, { log }), 60_000);
  t.false(stop.hasStarted);
  const first = stop.run();
  t.true(stop.hasStarted);
  await Promise.all([first, stop.run()]);
  t.deepEqual(steps, ["batch", "leaving", "drain", "rest"]);
  t.is(log.transferCount, 1);
});

test("stops although no component answers", async (t) => {
  const steps: string[] = [];
  const log = new FakeLog();
  log.stop = () => NEVER;
  log.transferLeadership = () => NEVER;
  const { callers } = createComponents(steps);
  const stop = createStop(
    createComponents(steps, {
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

test("continues after a failed step", async (t) => {
  const steps: string[] = [];
  const failing = () => Promise.reject(new Error("failed"));
  const stop = createStop(
    createComponents(steps, { batch: { stop: failing } }),
    60_000,
  );
  await stop.run();
  t.deepEqual(steps, ["leaving", "drain", "rest"]);
});
