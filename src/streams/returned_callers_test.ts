import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { ReturnedCallers } from "./returned_callers.ts";

async function started(milliseconds: number) {
  const time = new VirtualTime();
  const returned = new ReturnedCallers(new VirtualClock(time));
  await time.pass(milliseconds);
  return { time, returned };
}

test("caller that waits for less than others has returned", async (t) => {
  const { returned } = await started(5_000);
  t.false(returned.hasReturned("alerts", 5_000));
  t.false(returned.hasReturned("alerts", 4_950));
  t.true(returned.hasReturned("alerts", 4_500));
  t.false(returned.hasReturned("reports", 4_500));
});

test("herd after a loss of all power: nobody is refused twice", async (t) => {
  const { returned } = await started(500);
  t.true(returned.hasReturned("alerts", 4_490));
  t.true(returned.hasReturned("alerts", 4_490));
  // One that has not waited yet shows who has.
  t.false(returned.hasReturned("alerts", 5_000));
  t.false(returned.hasReturned("alerts", 5_000));
  t.true(returned.hasReturned("alerts", 4_490));
});

test("shorter waits become usual", async (t) => {
  const { time, returned } = await started(5_000);
  t.false(returned.hasReturned("alerts", 5_000));
  await time.pass(31_000);
  t.false(returned.hasReturned("alerts", 2_000));
  t.true(returned.hasReturned("alerts", 1_500));
});
