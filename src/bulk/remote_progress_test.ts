import test from "ava";
import fc from "fast-check";
import type { RunDelta } from "./messages.ts";
import { RemoteProgress } from "./remote_progress.ts";

/** Lines that a store receives in a run, one for each event. */
const LINES = ["c", "d", "e", "f"];

/** A delta with the lines from one position to another. */
function delta(from: number, to: number): RunDelta {
  const data = LINES.slice(from, to);
  return { run: "run", from, data, lastEventId: `${to + 2}` };
}

/** Progress of an item that had two events before the run. */
function createProgress() {
  const progress = { data: ["a", "b"], lastEventId: "2" };
  return { progress, remote: new RemoteProgress(progress) };
}

test("data after a gap is not held", (t) => {
  const { progress, remote } = createProgress();
  remote.add(delta(0, 1));
  remote.add(delta(2, 4));
  t.deepEqual(progress, { data: ["a", "b", "c"], lastEventId: "3" });
  t.false(remote.includes(delta(2, 4)));
  t.true(remote.includes(delta(0, 1)));
});

test("deltas in any order only ever add data", (t) => {
  const position = fc.nat({ max: LINES.length });
  const deltas = fc.array(fc.tuple(position, position), { maxLength: 20 });
  fc.assert(
    fc.property(deltas, (ranges) => {
      const { progress, remote } = createProgress();
      for (const [one, other] of ranges) {
        const before = progress.data.length;
        remote.add(delta(Math.min(one, other), Math.max(one, other)));
        if (progress.data.length < before) return false;
        if (progress.lastEventId !== `${progress.data.length}`) return false;
      }
      const expected = ["a", "b", ...LINES].slice(0, progress.data.length);
      return progress.data.join() === expected.join();
    }),
    { seed: 67, numRuns: 300 },
  );
  t.pass();
});
