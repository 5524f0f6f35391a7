import test from "ava";
import { SteppingClock } from "../../testing/stepping_clock.ts";
import { ClockWatch } from "./clock_watch.ts";

test("clocks that move together leave durations reliable", (t) => {
  const clock = new SteppingClock();
  const watch = new ClockWatch(clock);
  const start = clock.deadlineIn(1);
  clock.advance(60_000);
  t.true(watch.isContinuousSince(start));
});

test("suspension and steps of the time of day are noticed", (t) => {
  for (const step of [3_000, -3_000]) {
    const clock = new SteppingClock();
    const watch = new ClockWatch(clock);
    const before = clock.deadlineIn(1);
    clock.advance(100);
    clock.stepWall(step);
    t.false(watch.isContinuousSince(before));
    clock.advance(1);
    t.true(watch.isContinuousSince(clock.monotonic()));
    t.false(watch.isContinuousSince(before), "it stays unreliable");
  }
});
