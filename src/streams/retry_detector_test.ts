import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { RetryDetector } from "./retry_detector.ts";

async function startDetector(milliseconds: number) {
  const time = new VirtualTime();
  const detector = new RetryDetector(new VirtualClock(time));
  await time.advance(milliseconds);
  return { time, detector };
}

test("request with a shorter wait than others is a retry", async (t) => {
  const { detector } = await startDetector(5_000);
  t.false(detector.isRetry("alerts", 5_000));
  t.false(detector.isRetry("alerts", 4_950));
  t.true(detector.isRetry("alerts", 4_500));
  t.false(detector.isRetry("reports", 4_500));
});

// After an outage of the whole fleet, the first callers have failed before.
// If their requests counted as first attempts, they would be refused again, and
// the callers would give up.
test("requests right after a start count as retries", async (t) => {
  const { detector } = await startDetector(500);
  t.true(detector.isRetry("alerts", 4_490));
  t.true(detector.isRetry("alerts", 4_490));
  // A caller with its full wait shows which of the others are retries.
  t.false(detector.isRetry("alerts", 5_000));
  t.false(detector.isRetry("alerts", 5_000));
  t.true(detector.isRetry("alerts", 4_490));
});

test("longest wait is measured anew after it expires", async (t) => {
  const { time, detector } = await startDetector(5_000);
  t.false(detector.isRetry("alerts", 5_000));
  await time.advance(31_000);
  t.false(detector.isRetry("alerts", 2_000));
  t.true(detector.isRetry("alerts", 1_500));
});
