import test from "ava";
import fc from "fast-check";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { LoadLedger } from "./load_ledger.ts";

/** Lifetimes of reports and grants in `LoadLedger`, in milliseconds. */
const REPORT_LIFETIME = 1_500;
const GRANT_LIFETIME = 400;

const ENGINES = ["one", "two", "three"];
const INSTANCES = ["a", "b"];

const step = fc.oneof(
  fc.record({
    kind: fc.constant("report" as const),
    instance: fc.constantFrom(...INSTANCES),
    counts: fc.array(fc.nat({ max: 5 }), { minLength: 3, maxLength: 3 }),
    isAnswered: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("grant" as const),
    instance: fc.constantFrom(...INSTANCES),
    engine: fc.constantFrom(...ENGINES),
  }),
  fc.record({
    kind: fc.constant("time" as const),
    milliseconds: fc.integer({ min: 1, max: 900 }),
  }),
);

/** Reference model that recomputes the sums from all reports and grants. */
class ReferenceLedger {
  #reports = new Map<string, { at: number; counts: number[] }>();
  #grants: { at: number; instance: string; engine: string; seq: number }[] = [];

  report(at: number, instance: string, counts: number[], answered: number) {
    this.#reports.set(instance, { at, counts });
    this.#grants = this.#grants.filter((grant) =>
      grant.instance !== instance || grant.seq > answered
    );
  }

  grant(at: number, instance: string, engine: string, seq: number) {
    this.#grants.push({ at, instance, engine, seq });
  }

  live(now: number): Record<string, number> {
    const sums: Record<string, number> = {};
    const add = (engine: string, count: number) => {
      if (count > 0) sums[engine] = (sums[engine] ?? 0) + count;
    };
    for (const { at, counts } of this.#reports.values()) {
      if (at < now - REPORT_LIFETIME) continue;
      counts.forEach((count, index) => add(ENGINES[index] as string, count));
    }
    for (const { at, engine } of this.#grants) {
      if (at + GRANT_LIFETIME > now) add(engine, 1);
    }
    return sums;
  }
}

test("incrementally updated sums equal recomputed ones", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 1, maxLength: 40 }),
      async (steps) => {
        const time = new VirtualTime();
        const ledger = new LoadLedger(new VirtualClock(time));
        const reference = new ReferenceLedger();
        let sequence = 0;
        for (const next of steps) {
          sequence += 1;
          if (next.kind === "time") await time.advance(next.milliseconds);
          if (next.kind === "grant") {
            const { instance, engine } = next;
            const grant = {
              instance,
              engine,
              sequence,
              caller: undefined,
              tokens: 0,
            };
            ledger.recordGrant(grant);
            reference.grant(time.now, next.instance, next.engine, sequence);
          }
          if (next.kind === "report") {
            const answered = next.isAnswered ? sequence : 0;
            const live = ENGINES.map((engine, index) =>
              [engine, next.counts[index] ?? 0] as [string, number]
            );
            ledger.recordReport({
              instance: next.instance,
              name: next.instance,
              role: "entry",
              ...{ sequence, answered, live },
              suspects: [],
              routesVersion: 0,
              listRevision: "",
            });
            reference.report(time.now, next.instance, next.counts, answered);
          }
          const actual = Object.fromEntries(
            [...ledger.liveCounts()].filter(([, count]) => count > 0),
          );
          if (!t.deepEqual(actual, reference.live(time.now))) return false;
        }
        return true;
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});
