import test from "ava";
import type { z } from "zod";
import type { IEventLog } from "../events/mod.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { ClockOffsetMonitor } from "./clock_offset_monitor.ts";

/** One way between the instance and the leader, in milliseconds. */
const ONE_WAY_DELAY_MILLISECONDS = 5;

/** What is told while the leader is ahead by each of some differences. */
function reportedOffsets(offsets: readonly number[], leader = "store-1") {
  const lines: Record<string, unknown>[] = [];
  const events: IEventLog = {
    emit: (_, fields) => void lines.push(fields as z.infer<z.ZodObject>),
  };
  const clock = new FakeClock();
  const monitor = new ClockOffsetMonitor(clock, { events });
  for (const offset of offsets) {
    const sentAt = clock.wall();
    const wall = sentAt + ONE_WAY_DELAY_MILLISECONDS + offset;
    clock.advance(2 * ONE_WAY_DELAY_MILLISECONDS);
    monitor.recordResponse({ leader, wall }, sentAt);
  }
  return lines;
}

test("difference told once, with its uncertainty", (t) => {
  t.deepEqual(reportedOffsets([300, 304, 296]), [{
    peer: "store-1",
    offsetMilliseconds: 300,
    uncertaintyMilliseconds: ONE_WAY_DELAY_MILLISECONDS,
  }]);
});

test("clock that jumps is told again", (t) => {
  const offsets = reportedOffsets([0, 2_000, 2_000, 0])
    .map(({ offsetMilliseconds }) => offsetMilliseconds);
  t.deepEqual(offsets, [0, 2_000, 0]);
});

test("call that waited is followed by a better comparison", (t) => {
  const lines: unknown[] = [];
  const clock = new FakeClock();
  const monitor = new ClockOffsetMonitor(clock, {
    events: {
      emit: (_, fields) =>
        void lines.push((fields as Record<string, unknown>).offsetMilliseconds),
    },
  });
  // The leader was searched for 300 ms before the call was sent.
  for (const searching of [300, 0, 0]) {
    const sentAt = clock.wall();
    clock.advance(searching + ONE_WAY_DELAY_MILLISECONDS);
    const wall = clock.wall();
    clock.advance(ONE_WAY_DELAY_MILLISECONDS);
    monitor.recordResponse({ leader: "store-1", wall }, sentAt);
  }
  t.deepEqual(lines, [150, 0]);
});

test("unchanged difference is told once a minute", (t) => {
  const calls = 2 * 60_000 / (2 * ONE_WAY_DELAY_MILLISECONDS);
  t.is(reportedOffsets(Array.from({ length: calls }, () => 0)).length, 2);
});
