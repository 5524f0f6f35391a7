import test from "ava";
import type { z } from "zod";
import type { IEventLog } from "../events/mod.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { ClockOffsetMonitor } from "./clock_offset_monitor.ts";

/** Network delay in one direction between instance and leader. */
const ONE_WAY_DELAY_MILLISECONDS = 5;

/** Fields of the events logged for a sequence of leader clock offsets. */
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

test("an offset is logged once, with its uncertainty", (t) => {
  t.deepEqual(reportedOffsets([300, 304, 296]), [{
    peer: "store-1",
    offsetMilliseconds: 300,
    uncertaintyMilliseconds: ONE_WAY_DELAY_MILLISECONDS,
  }]);
});

test("a clock jump is logged", (t) => {
  const offsets = reportedOffsets([0, 2_000, 2_000, 0])
    .map(({ offsetMilliseconds }) => offsetMilliseconds);
  t.deepEqual(offsets, [0, 2_000, 0]);
});

test("a more precise measurement is logged after an imprecise one", (t) => {
  const lines: unknown[] = [];
  const clock = new FakeClock();
  const monitor = new ClockOffsetMonitor(clock, {
    events: {
      emit: (_, fields) =>
        void lines.push((fields as Record<string, unknown>).offsetMilliseconds),
    },
  });
  // In the first call, 300 ms pass until the leader is found.
  for (const searching of [300, 0, 0]) {
    const sentAt = clock.wall();
    clock.advance(searching + ONE_WAY_DELAY_MILLISECONDS);
    const wall = clock.wall();
    clock.advance(ONE_WAY_DELAY_MILLISECONDS);
    monitor.recordResponse({ leader: "store-1", wall }, sentAt);
  }
  t.deepEqual(lines, [150, 0]);
});

test("an unchanged offset is logged once a minute", (t) => {
  const calls = 2 * 60_000 / (2 * ONE_WAY_DELAY_MILLISECONDS);
  t.is(reportedOffsets(Array.from({ length: calls }, () => 0)).length, 2);
});
