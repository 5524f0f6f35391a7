import test from "ava";
import { type FailureCode, notRun, SystemClock } from "../common/mod.ts";
import { TraceRecorder } from "../explain/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { IGenerationRequest } from "./generation_request.ts";
import { LiveRecorder } from "./live_recorder.ts";
import type { ICallerRequest } from "./types.ts";

test("last step says how the request ended", (t) => {
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
