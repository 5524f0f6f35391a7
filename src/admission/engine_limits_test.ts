import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { SilentEventLog } from "../events/mod.ts";
import { EngineLimits } from "./engine_limits.ts";

function createLimits() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const create = () =>
    new EngineLimits(clock, { events: new SilentEventLog() });
  return { time, clock, create, limits: create() };
}

test("a limit ends with an answer that names none", (t) => {
  const { time, clock, limits } = createLimits();
  limits.recordLimit("engine", 3.3);
  t.is(limits.limitOf("engine"), 3.3);
  time.now += 10;
  limits.recordNoLimit("engine", clock.monotonic());
  t.is(limits.limitOf("engine"), undefined);
});

// Answers on several connections arrive in another order than they were made.
test("an overtaken answer does not end a limit", (t) => {
  const { time, clock, limits } = createLimits();
  const sentAt = clock.monotonic();
  time.now += 50;
  limits.recordLimit("engine", 2);
  time.now += 50;
  limits.recordNoLimit("engine", sentAt);
  t.is(limits.limitOf("engine"), 2);
});

test("instances learn of limits and of their ends through the leader", (t) => {
  const { time, clock, create } = createLimits();
  const [first, leader, second] = [create(), create(), create()];
  first.recordLimit("engine", 2);
  time.now += 20;
  const report = first.unreported(1);
  leader.merge(report);
  first.markReported(report, 1);
  t.deepEqual(first.unreported(1), []);
  second.merge(leader.all(), 1);
  t.is(second.limitOf("engine"), 2);
  t.deepEqual(second.unreported(1), []);
  time.now += 5_000;
  second.recordNoLimit("engine", clock.monotonic());
  leader.merge(second.unreported(1));
  t.is(leader.limitOf("engine"), undefined);
  first.merge(leader.all(), 1);
  t.is(first.limitOf("engine"), undefined);
});

test("a new leader receives all limits", (t) => {
  const { limits, create } = createLimits();
  limits.recordLimit("engine", 2);
  limits.markReported(limits.unreported(1), 1);
  const next = create();
  next.merge(limits.unreported(2));
  t.is(next.limitOf("engine"), 2);
});

test("old news does not replace newer ones", (t) => {
  const { time, limits } = createLimits();
  time.now = 5_000;
  limits.recordLimit("engine", 2);
  limits.merge([["engine", null, 3_000]], 1);
  t.is(limits.limitOf("engine"), 2);
});

test("limits of engines that are gone are forgotten", (t) => {
  const { time, limits } = createLimits();
  limits.recordLimit("gone", 2);
  time.now += 600_001;
  t.deepEqual(limits.all(), []);
});
