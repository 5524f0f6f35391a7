import test from "ava";
import fc from "fast-check";
import { LatencyHistogram } from "./latency_histogram.ts";
import { MAXIMUM_SERIES, Metrics } from "./metrics.ts";

test("counter ignores the order of labels and escapes their values", (t) => {
  const metrics = new Metrics();
  const counter = metrics.counter("requests_total", "All requests.");
  counter.add(1, { service: "alerts", caller: 'a"b' });
  metrics.counter("requests_total", "All requests.").add(2, {
    caller: 'a"b',
    service: "alerts",
  });
  t.is(
    metrics.render(),
    "# HELP requests_total All requests.\n" +
      "# TYPE requests_total counter\n" +
      'requests_total{caller="a\\"b",service="alerts"} 3\n',
  );
});

test("series are limited and the total stays exact", (t) => {
  const metrics = new Metrics();
  const counter = metrics.counter("many", "Many.");
  for (let index = 0; index < MAXIMUM_SERIES * 2; index++) {
    counter.add(1, { index: String(index) });
  }
  const lines = metrics.render().trim().split("\n").slice(2);
  t.is(lines.length, MAXIMUM_SERIES + 1);
  const total = lines.reduce(
    (sum, line) => sum + Number(line.split(" ")[1]),
    0,
  );
  t.is(total, MAXIMUM_SERIES * 2);
  t.true(lines.includes(`many{overflow="true"} ${MAXIMUM_SERIES}`));
});

test("histogram buckets count all values up to their bound", (t) => {
  const metrics = new Metrics();
  const histogram = metrics.histogram("wait", "Wait.");
  for (const value of [0.5, 15, 15, 700, 1e9]) histogram.record(value);
  const text = metrics.render();
  t.true(text.includes('wait_bucket{le="1"} 1\n'));
  t.true(text.includes('wait_bucket{le="20"} 3\n'));
  t.true(text.includes('wait_bucket{le="1100"} 4\n'));
  t.true(text.includes('wait_bucket{le="+Inf"} 5\n'));
  t.true(text.includes("wait_count 5\n"));
});

test("a name cannot be used for two types of metric", (t) => {
  const metrics = new Metrics();
  metrics.counter("name", "First.");
  t.throws(() => metrics.histogram("name", "Second."), {
    instanceOf: TypeError,
  });
});

test("merged histograms equal one histogram of all values", (t) => {
  const latencies = fc.array(fc.double({ min: 0, max: 1e7, noNaN: true }), {
    minLength: 20,
    maxLength: 60,
  });
  fc.assert(
    fc.property(fc.array(latencies, { maxLength: 5 }), (parts) => {
      const whole = new LatencyHistogram();
      const merged = new LatencyHistogram();
      for (const part of parts) {
        const one = new LatencyHistogram();
        part.forEach((value) => one.record(value));
        part.forEach((value) => whole.record(value));
        merged.add(LatencyHistogram.decode(one.encode()));
      }
      t.is(merged.count, whole.count);
      for (const percentage of [1, 50, 95, 99, 100]) {
        t.is(merged.percentile(percentage), whole.percentile(percentage));
      }
    }),
    { seed: 2, numRuns: 50 },
  );
});
