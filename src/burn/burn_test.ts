import test from "ava";
import fc from "fast-check";
import { SystemClock } from "../common/mod.ts";
import { objectiveSchema } from "../configuration/mod.ts";
import { renderBurnPage } from "./burn_page.ts";
import { alertOf, burnRate, createBurnEntry } from "./burn_report.ts";
import { mergeSeries } from "./merge_series.ts";
import {
  MAXIMUM_SERIES,
  OVERFLOW_GROUP,
  ServiceLevelRecorder,
} from "./service_level_recorder.ts";
import type { IServiceLevelSample, ServiceLevelOutcome } from "./types.ts";

const MINUTE = 60_000;
const DAY = 24 * 60 * MINUTE;
const START = Date.UTC(2026, 0, 5);
const OUTCOMES: ServiceLevelOutcome[] = ["good", "late", "refused", "failed"];

/** Clock whose wall time is set by the test. */
class ManualClock extends SystemClock {
  now = START;

  override wall(): number {
    return this.now;
  }
}

function sample(
  outcome: ServiceLevelOutcome,
  details: Partial<IServiceLevelSample> = {},
): IServiceLevelSample {
  return {
    service: "alerts",
    callerGroup: "porters",
    outcome,
    target: "engine-1",
    failureDomain: "west-1",
    firstTokenMilliseconds: 100,
    betweenTokensMilliseconds: 10,
    ...details,
  };
}

const objective = objectiveSchema.parse({});

test("burn rate is the share of bad requests over the allowed share", (t) => {
  const counts = { good: 90, late: 5, refused: 3, failed: 2 };
  t.is(Math.round(burnRate(counts, objective) * 1e6) / 1e6, 2);
  t.is(burnRate({ good: 0, late: 0, refused: 0, failed: 0 }, objective), 0);
});

test("rates, counts and latencies ignore requests before the window", (t) => {
  const clock = new ManualClock();
  const recorder = new ServiceLevelRecorder(clock);
  for (let index = 0; index < 10; index++) recorder.record(sample("failed"));
  clock.now = START + 30 * MINUTE;
  for (let index = 0; index < 10; index++) recorder.record(sample("good"));
  const read = () => {
    const [series] = recorder.read();
    if (!series) throw new Error("no series");
    return createBurnEntry(series, objective, clock.now);
  };
  const now = read();
  t.is(now.burnRates.fiveMinutes, 0);
  t.is(Math.round(now.burnRates.oneHour), 10);
  t.is(Math.round(now.budgetSpent), 10);
  t.is(now.alert, "ticket");
  t.is(now.firstToken.count, 20);
  clock.now = START + 2 * DAY;
  const later = read();
  t.deepEqual(later.counts, { good: 0, late: 0, refused: 0, failed: 0 });
  t.deepEqual(later.spending, []);
  t.is(later.firstToken.count, 0);
});

test("alert requires a high burn rate in both windows", (t) => {
  const rates = { fiveMinutes: 0, oneHour: 0, sixHours: 0, oneDay: 0 };
  t.is(alertOf({ ...rates, fiveMinutes: 20 }), "none");
  t.is(alertOf({ ...rates, oneHour: 20 }), "none");
  t.is(alertOf({ ...rates, fiveMinutes: 6, oneHour: 6 }), "page");
  t.is(alertOf({ ...rates, oneHour: 2, sixHours: 2 }), "ticket");
});

test("spendings are grouped by outcome, target and failure domain", (t) => {
  const recorder = new ServiceLevelRecorder(new ManualClock());
  recorder.record(sample("good"));
  recorder.record(sample("late"));
  recorder.record(sample("late"));
  recorder.record(
    sample("refused", { target: undefined, failureDomain: undefined }),
  );
  t.like(recorder.read()[0]?.spending, [
    { outcome: "late", target: "engine-1", failureDomain: "west-1", count: 2 },
    { outcome: "refused", count: 1 },
  ]);
});

test("merged series of instances equal the series of one recorder", (t) => {
  const request = fc.record({
    instance: fc.nat(2),
    outcome: fc.constantFrom(...OUTCOMES),
    callerGroup: fc.constantFrom("porters", "drivers"),
    target: fc.constantFrom("engine-1", "engine-2", "engine-3"),
    firstTokenMilliseconds: fc.double({ min: 0, max: 1e5, noNaN: true }),
    wait: fc.nat(20 * MINUTE),
  });
  fc.assert(
    fc.property(
      fc.array(request, { minLength: 50, maxLength: 200 }),
      (requests) => {
        const clock = new ManualClock();
        const whole = new ServiceLevelRecorder(clock);
        const parts = [0, 1, 2].map(() => new ServiceLevelRecorder(clock));
        for (const { instance, wait, outcome, ...details } of requests) {
          clock.now += wait;
          whole.record(sample(outcome, details));
          parts[instance]?.record(sample(outcome, details));
        }
        const merged = mergeSeries(parts.flatMap((part) => part.read()));
        const entries = (series: typeof merged) =>
          series.map((one) => createBurnEntry(one, objective, clock.now));
        t.deepEqual(entries(merged), entries(mergeSeries(whole.read())));
      },
    ),
    { seed: 3, numRuns: 30 },
  );
});

test("number of series, buckets and spendings is bounded", (t) => {
  const clock = new ManualClock();
  const recorder = new ServiceLevelRecorder(clock);
  for (let index = 0; index < 2_000; index++) {
    clock.now += 5 * MINUTE;
    recorder.record(
      sample("failed", { callerGroup: `${index}`, target: `${index}` }),
    );
  }
  const series = recorder.read();
  t.is(series.length, MAXIMUM_SERIES + 1);
  const overflow = series.find(({ callerGroup }) =>
    callerGroup === OVERFLOW_GROUP
  );
  t.true((overflow?.minutes.length ?? 0) <= 60);
  t.is(overflow?.halfHours.length, 48);
  t.true((overflow?.spending.length ?? 0) <= 4 * 33);
});

test("page escapes texts, names missing instances, loads no files", (t) => {
  const clock = new ManualClock();
  const recorder = new ServiceLevelRecorder(clock);
  recorder.record(sample("failed", { target: "<engine>" }));
  const page = renderBurnPage({
    at: clock.now,
    entries: recorder.read().map((one) =>
      createBurnEntry(one, objective, clock.now)
    ),
    answered: ["one"],
    unanswered: [{ id: "two", reason: "lost" }],
  });
  t.regex(page, /alerts for porters/);
  t.regex(page, /&lt;engine>/);
  t.notRegex(page, /<engine>/);
  t.regex(page, /Requests of <b>two<\/b> are missing/);
  t.is(page.match(/<svg/g)?.length, 2);
  t.notRegex(page, /(src|href)=/);
});
