import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { FleetRateLimiter } from "./fleet_rate_limiter.ts";

const STEP_MILLISECONDS = 25;

/** Runs live requests and items as often as the limiter admits them. */
function run(options: { limit: number; seconds: number; hasLive: boolean }) {
  const { limit, seconds, hasLive } = options;
  const time = new VirtualTime();
  const limiter = new FleetRateLimiter(new VirtualClock(time), {
    limitOf: () => limit,
  });
  const counts = { live: 0, items: 0 };
  for (let step = 0; step < seconds * 1_000 / STEP_MILLISECONDS; step++) {
    time.now += STEP_MILLISECONDS;
    if (hasLive && limiter.waitMilliseconds("engine") === 0) {
      limiter.take("engine");
      counts.live += 1;
    }
    if (limiter.startableItems("engine") < 1) continue;
    limiter.takeForItem("engine");
    counts.items += 1;
  }
  return counts;
}

test("items get a share of a limit that live requests exceed", (t) => {
  const { live, items } = run({ limit: 4, seconds: 60, hasLive: true });
  t.true(live + items <= 4 * 61);
  t.true(items >= 0.15 * 4 * 60, `${items} items`);
  t.true(live >= 0.75 * 4 * 60, `${live} live requests`);
});

test("items use a limit that live requests leave", (t) => {
  const { items } = run({ limit: 4, seconds: 60, hasLive: false });
  t.true(items >= 0.9 * 4 * 60, `${items} items`);
});

test("an engine that takes nothing still gets a request now and then", (t) => {
  const { live, items } = run({ limit: 0, seconds: 60, hasLive: true });
  t.true(live + items > 0);
  t.true(live + items <= 13);
});

test("engines without a limit take everything", (t) => {
  const clock = new VirtualClock(new VirtualTime());
  const limiter = new FleetRateLimiter(clock, { limitOf: () => undefined });
  t.is(limiter.waitMilliseconds("engine"), 0);
  t.is(limiter.startableItems("engine"), Number.POSITIVE_INFINITY);
});
