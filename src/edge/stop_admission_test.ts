import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { RecentDurations } from "./recent_durations.ts";
import { StopAdmission } from "./stop_admission.ts";

const GRACE_MILLISECONDS = 7_300;
const TIMEOUT_MILLISECONDS = 20_000;

function createFixture() {
  const clock = new FakeClock();
  const durations = new RecentDurations(clock);
  const admission = new StopAdmission(clock, durations);
  const accepts = (kind: string, timeout = TIMEOUT_MILLISECONDS) =>
    admission.accepts({ kind, deadline: clock.deadlineIn(timeout) });
  const begin = () => admission.begin(clock.deadlineIn(GRACE_MILLISECONDS));
  return { clock, durations, accepts, begin };
}

test("everything is accepted before a stop", (t) => {
  const { durations, accepts } = createFixture();
  durations.record("slow", 15_000);
  t.true(accepts("slow"));
  t.true(accepts("unknown"));
});

// Guards against requests that are passed on late in a planned stop and cut off
// at its end.
test("requests that would be cut off are refused", (t) => {
  const { clock, durations, accepts, begin } = createFixture();
  durations.record("fast", 300);
  durations.record("slow", 4_000);
  durations.record("slow", 200);
  begin();
  t.true(accepts("slow"));
  t.true(accepts("unknown"));
  clock.advance(3_001);
  t.false(accepts("slow"), "the longest duration with a margin does not fit");
  t.false(accepts("unknown"), "the load balancer sends no more requests");
  t.true(accepts("unknown", 4_000), "it ends in time in any case");
  t.true(accepts("fast"));
  clock.advance(3_700);
  t.true(accepts("fast"));
  clock.advance(200);
  t.false(accepts("fast"));
});

test("durations count for a minute at most", (t) => {
  const { clock, durations } = createFixture();
  durations.record("route", 4_000);
  clock.advance(25_000);
  t.is(durations.longest("route"), 4_000);
  durations.record("route", 100);
  clock.advance(10_000);
  t.is(durations.longest("route"), 4_000);
  durations.record("route", 200);
  clock.advance(30_000);
  t.is(durations.longest("route"), 200);
  clock.advance(60_000);
  t.is(durations.longest("route"), undefined);
});
