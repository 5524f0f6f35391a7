import test from "ava";
import { type FailureCode, notRun, SystemClock } from "../common/mod.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import type { ServiceLevelOutcome } from "../burn/types.ts";
import { TraceRecorder } from "../explain/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { IGenerationRequest } from "./generation_request.ts";
import { LiveRecorder } from "./live_recorder.ts";
import type { ICallerRequest } from "./types.ts";

test("last step of the trace is the outcome of the request", (t) => {
  const clock = new SystemClock();
  const trace = new TraceRecorder("instance", clock);
  const recorder = new LiveRecorder({
    clock,
    trace,
    serviceLevels: { record: () => {} },
    metrics: new Metrics(),
  });
  const live = {
    grant: { service: { name: "alerts", objective: {} } },
  } as IGenerationRequest;
  const stepAfter = (code?: FailureCode) => {
    const id = `request-${code}`;
    const caller = { group: "live" };
    const request = { id, caller } as ICallerRequest;
    recorder.begin(request, live).finish(code && notRun(code, "reason"));
    return trace.read(id).at(-1)?.step;
  };
  t.is(stepAfter(), "done");
  t.is(stepAfter("overloaded"), "refused");
  t.is(stepAfter("cancelled"), "cancelled");
  t.is(stepAfter("target-error"), "failed");
});

test("classifies outcomes against the objective", (t) => {
  const objective = {
    firstTokenMilliseconds: 1_100,
    betweenTokensMilliseconds: 30,
  };
  const classify = (first: number, gap: number, code?: FailureCode) => {
    const clock = new FakeClock();
    const outcomes: ServiceLevelOutcome[] = [];
    const recorder = new LiveRecorder({
      clock,
      trace: new TraceRecorder("instance", clock),
      serviceLevels: { record: ({ outcome }) => outcomes.push(outcome) },
      metrics: new Metrics(),
    });
    const record = recorder.begin(
      { id: "request", caller: { group: "live" } } as ICallerRequest,
      {
        grant: { service: { name: "alerts", objective } },
      } as IGenerationRequest,
    );
    clock.advance(first);
    record.timing.recordTokens(1);
    clock.advance(gap);
    record.timing.recordTokens(1);
    record.finish(code && notRun(code, "reason"));
    return outcomes[0];
  };
  t.is(classify(1_100, 30), "good");
  t.is(classify(1_101, 30), "late");
  t.is(classify(1_100, 31), "late");
  t.is(classify(0, 0, "deadline-exceeded"), "late");
  t.is(classify(0, 0, "overloaded"), "refused");
  t.is(classify(0, 0, "target-error"), "failed");
  t.is(classify(0, 0, "cancelled"), undefined);
});
