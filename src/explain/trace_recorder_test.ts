import test from "ava";
import fc from "fast-check";
import { SystemClock } from "../common/mod.ts";
import { TraceRecorder } from "./trace_recorder.ts";

/** Clock whose wall time advances by a millisecond with every reading. */
class CountingClock extends SystemClock {
  #now = 0;

  override wall(): number {
    return this.#now++;
  }
}

test("returns the steps of a subject in order", (t) => {
  const traces = new TraceRecorder("one", new CountingClock());
  traces.record("req-1", "admitted");
  traces.record("req-2", "admitted");
  traces.record("req-1", "attempt", { target: "engine-1", reason: "idle" });
  t.deepEqual(traces.read("req-1").map(({ step }) => step), [
    "admitted",
    "attempt",
  ]);
  t.is(traces.read("req-1")[1]?.target, "engine-1");
  t.deepEqual(traces.read("req-3"), []);
});

test("evicts the least recently updated subject first", (t) => {
  const traces = new TraceRecorder("one", new CountingClock(), {
    maximumSubjects: 2,
  });
  traces.record("a", "first");
  traces.record("b", "first");
  traces.record("a", "second");
  traces.record("c", "first");
  t.is(traces.read("a").length, 2);
  t.is(traces.read("b").length, 0);
  t.true(traces.trace("b").keptSince > 0);
});

test("subject with many steps keeps the latest", (t) => {
  const traces = new TraceRecorder("one", new CountingClock());
  for (let index = 0; index < 100; index++) traces.record("a", `${index}`);
  const { steps, droppedSteps } = traces.trace("a");
  t.is(steps.at(-1)?.step, "99");
  t.is(steps.length + droppedSteps, 100);
  t.true(droppedSteps > 0);
});

test("number of subjects and bytes stay within the limits", (t) => {
  const step = fc.record({
    subject: fc.nat(50).map(String),
    text: fc.string({ maxLength: 200 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 100, maxLength: 300 }), (steps) => {
      const traces = new TraceRecorder("one", new CountingClock(), {
        maximumSubjects: 10,
        maximumBytes: 2_000,
      });
      for (const { subject, text } of steps) {
        traces.record(subject, "step", { reason: text });
        t.true(traces.subjectCount <= 10);
        t.true(traces.bytes <= 2_000);
        t.true(traces.bytes >= 0);
      }
    }),
    { seed: 1, numRuns: 50 },
  );
});
