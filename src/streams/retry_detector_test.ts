import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { RetryDetector } from "./retry_detector.ts";

async function startDetector(milliseconds: number) {
  const time = new VirtualTime();
  const detector = new RetryDetector(new VirtualClock(time));
  await time.pass(milliseconds);
  return { time, returned: detector };
}

test("caller that waits for less than others has returned", async (t) => {
  const { returned: detector } = await startDetector(5_000);
  t.false(detector.isRetry("alerts", 5_000));
  t.false(detector.isRetry("alerts", 4_950));
  t.true(detector.isRetry("alerts", 4_500));
  t.false(detector.isRetry("reports", 4_500));
});

test("herd after a loss of all power: nobody is refused twice", async (t) => {
  const { returned: detector } = await startDetector(500);
  t.true(detector.isRetry("alerts", 4_490));
  t.true(detector.isRetry("alerts", 4_490));
  // One that has not waited yet shows who has.
  t.false(detector.isRetry("alerts", 5_000));
  t.false(detector.isRetry("alerts", 5_000));
  t.true(detector.isRetry("alerts", 4_490));
});

test("shorter waits become usual", async (t) => {
  const { time, returned: detector } = await startDetector(5_000);
  t.false(detector.isRetry("alerts", 5_000));
  await time.pass(31_000);
  t.false(detector.isRetry("alerts", 2_000));
  t.true(detector.isRetry("alerts", 1_500));
});
