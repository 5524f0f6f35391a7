import test from "ava";
import { buildTimeline } from "./log_timeline.ts";

/** A log line as figroad writes it, `second` seconds after the start. */
function line(
  second: number,
  instance: string,
  name: string,
  fields: Record<string, unknown> = {},
): string {
  const at = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return JSON.stringify({ at, instance, name, ...fields });
}

function eventNames(id: string, lines: string[]): string[] {
  return buildTimeline(id, lines.join("\n")).lines.map((it) =>
    `${it.instance} ${it.name}`
  );
}

test("refused live request: the event has the load behind the refusal", (t) => {
  const lines = [
    line(1, "entry-1", "request-refused", {
      request: "r-1",
      reason: "no slot is expected to become free in time",
      live: 70,
      retryMilliseconds: 310,
    }),
    line(1, "entry-1", "request-refused", { request: "r-2" }),
  ];
  const timeline = buildTimeline("r-1", lines.join("\n")).lines;
  t.is(timeline.length, 1);
  t.like(timeline[0]?.fields, { live: 70, retryMilliseconds: 310 });
});

test("broken stream: includes suspicions of its engine by others", (t) => {
  const lines = [
    line(3, "entry-1", "request-failed", {
      request: "r-1",
      reason: "connection reset",
      hadBegun: true,
    }),
    line(1, "entry-1", "request-placed", { request: "r-1", engine: "e-1" }),
    line(2.9, "entry-2", "engine-suspected", { engine: "e-1" }),
    line(2.9, "entry-2", "engine-suspected", { engine: "e-2" }),
    line(9, "entry-2", "engine-suspected", { engine: "e-1" }),
  ];
  t.deepEqual(eventNames("r-1", lines), [
    "entry-1 request-placed",
    "entry-2 engine-suspected",
    "entry-1 request-failed",
  ]);
});

test("late batch item: includes each run and the leader change", (t) => {
  const lines = [
    line(1, "store-1", "bulk-item-started", { request: "i-1", job: "j" }),
    line(2, "store-1", "bulk-item-yielded", { request: "i-1", job: "j" }),
    line(3, "store-2", "leader-elected"),
    line(4, "store-2", "bulk-item-started", { request: "i-1", job: "j" }),
    line(4, "store-2", "bulk-item-started", { request: "i-2", job: "j" }),
    line(9, "store-2", "bulk-item-recorded", { request: "i-1", job: "j" }),
  ];
  t.deepEqual(eventNames("i-1", lines), [
    "store-1 bulk-item-started",
    "store-1 bulk-item-yielded",
    "store-2 leader-elected",
    "store-2 bulk-item-started",
    "store-2 bulk-item-recorded",
  ]);
  t.is(eventNames("j", lines).length, 6);
});

test("accepts prefixes of collectors and skips lines without events", (t) => {
  const lines = [
    `  3.21 entry-1 ${line(1, "entry-1", "caller-left", { request: "r" })}`,
    "{ broken",
    "plain text",
    `{"at":1}`,
  ];
  t.deepEqual(eventNames("r", lines), ["entry-1 caller-left"]);
  t.deepEqual(eventNames("other", lines), []);
});

test("different clocks: orders events of three instances by one clock", (t) => {
  const clockCompared = (
    second: number,
    instance: string,
    peer: string,
    offsetMilliseconds: number,
  ) => line(second, instance, "clock-compared", { peer, offsetMilliseconds });
  const lines = [
    // The clock of entry-1 is 5 s ahead of store-1, and that of store-2 is 2 s
    // ahead of store-1.
    clockCompared(5, "entry-1", "store-1", -5_000),
    clockCompared(5, "entry-2", "store-1", 0),
    clockCompared(0, "store-1", "store-2", 2_000),
    line(8, "entry-1", "request-placed", { request: "r", engine: "e" }),
    line(4, "store-1", "engine-suspected", { engine: "e" }),
    line(7, "store-2", "engine-suspected", { engine: "e" }),
    line(11, "entry-1", "request-failed", { request: "r" }),
  ];
  const timeline = buildTimeline("r", lines.join("\n"));
  t.is(timeline.clockOf, "store-1");
  t.deepEqual(
    timeline.lines.map(({ instance, at }) => [
      instance,
      (at - 1_700_000_000_000) / 1_000,
    ]),
    [["entry-1", 3], ["store-1", 4], ["store-2", 5], ["entry-1", 6]],
  );
  t.deepEqual(timeline.uncompared, []);
});

test("clock step: events after the step are shifted by the new offset", (t) => {
  const lines = [
    line(1, "entry-1", "clock-compared", {
      peer: "store-1",
      offsetMilliseconds: 0,
    }),
    line(2, "entry-1", "request-placed", { request: "r" }),
    line(12, "entry-1", "clock-compared", {
      peer: "store-1",
      offsetMilliseconds: -10_000,
    }),
    line(13, "entry-1", "request-answered", { request: "r" }),
  ];
  const { lines: timeline } = buildTimeline("r", lines.join("\n"));
  const [placed, answered] = timeline;
  t.is((answered?.at ?? 0) - (placed?.at ?? 0), 1_000);
});

test("lists instances that compared no clock", (t) => {
  const lines = [
    line(1, "entry-1", "clock-compared", {
      peer: "store-1",
      offsetMilliseconds: 0,
    }),
    line(2, "entry-2", "request-answered", { request: "r" }),
  ];
  t.deepEqual(buildTimeline("r", lines.join("\n")).uncompared, ["entry-2"]);
});
