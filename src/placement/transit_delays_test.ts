import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { TransitDelays } from "./transit_delays.ts";

/** Difference between the clocks of the sender and the receiver, in ms. */
const CLOCK_DIFFERENCE_MILLISECONDS = 70_000;

function setup() {
  const time = new VirtualTime();
  const delays = new TransitDelays(new VirtualClock(time));
  /** Delay of a message that arrives now, sent some milliseconds ago. */
  const estimate = (milliseconds: number, process = "first") =>
    delays.estimate("one", {
      process,
      sentAt: time.now - milliseconds + CLOCK_DIFFERENCE_MILLISECONDS,
    });
  return { time, estimate };
}

test("message that was held up is late by its additional time", async (t) => {
  const { time, estimate } = setup();
  t.is(estimate(3), 0);
  await time.advance(1_000);
  t.is(estimate(2_003), 2_000);
  t.is(estimate(2), 0);
  t.is(estimate(5), 3);
});

test("message after a long partition is late", async (t) => {
  const { time, estimate } = setup();
  estimate(3);
  await time.advance(60_000);
  t.is(estimate(4_003), 4_000);
});

test("lasting latency is no delay", async (t) => {
  const { time, estimate } = setup();
  estimate(3);
  for (let count = 0; count < 12; count++) {
    await time.advance(1_000);
    estimate(300);
  }
  t.is(estimate(300), 0);
});

test("clock of a restarted process is compared anew", (t) => {
  const { estimate } = setup();
  estimate(3);
  t.is(estimate(500, "second"), 0);
});
