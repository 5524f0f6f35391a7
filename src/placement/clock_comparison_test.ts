import test from "ava";
import type { z } from "zod";
import type { IEventLog } from "../events/mod.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { ClockComparison } from "./clock_comparison.ts";

/** One way between the instance and the leader, in milliseconds. */
const ONE_WAY_MILLISECONDS = 5;

/** What is told while the leader is ahead by each of some differences. */
function told(offsets: readonly number[], leader = "store-1") {
  const lines: Record<string, unknown>[] = [];
  const events: IEventLog = {
    emit: (_, fields) => void lines.push(fields as z.infer<z.ZodObject>),
  };
  const clock = new FakeClock();
  const comparison = new ClockComparison(clock, { events });
  for (const offset of offsets) {
    const sentAt = clock.wall();
    const wall = sentAt + ONE_WAY_MILLISECONDS + offset;
    clock.advance(2 * ONE_WAY_MILLISECONDS);
    comparison.answered({ leader, wall }, sentAt);
  }
  return lines;
}

test("difference told once, with its uncertainty", (t) => {
  t.deepEqual(told([300, 304, 296]), [{
    peer: "store-1",
    offsetMilliseconds: 300,
    uncertaintyMilliseconds: ONE_WAY_MILLISECONDS,
  }]);
});

test("clock that jumps is told again", (t) => {
  const offsets = told([0, 2_000, 2_000, 0])
    .map(({ offsetMilliseconds }) => offsetMilliseconds);
  t.deepEqual(offsets, [0, 2_000, 0]);
});

test("unchanged difference is told once a minute", (t) => {
  const calls = 2 * 60_000 / (2 * ONE_WAY_MILLISECONDS);
  t.is(told(Array.from({ length: calls }, () => 0)).length, 2);
});
