import test from "ava";
import {
  alwaysAvailable,
  configurationOf,
} from "../../testing/dispatcher_fixture.ts";
import { SystemClock } from "../common/mod.ts";
import type { Deadline } from "../common/mod.ts";
import { callerSchema } from "../configuration/mod.ts";
import { LatencyEstimates } from "./latency_estimates.ts";
import { ServiceGate } from "./service_gate.ts";

const CAPACITY = 64;
const TYPICAL_LATENCY = {
  firstTokenMilliseconds: 200,
  tokenMilliseconds: 10,
  tokensPerAnswer: 100,
};
const SINGLE_CALLER = { byCaller: 0, total: 0, callers: 1 };

function createGate(streams: number) {
  const clock = new SystemClock();
  let now = 0;
  clock.monotonic = () => now as Deadline;
  clock.deadlineIn = (milliseconds) => (now + milliseconds) as Deadline;
  clock.isPast = (deadline) => now >= deadline;
  clock.remaining = (deadline) => Math.max(0, deadline - now);
  const configuration = configurationOf([1, 2]);
  const estimates = new LatencyEstimates(clock);
  const load = { ...LOAD, ownLive: streams / 2 };
  const gate = new ServiceGate({
    clock,
    configuration,
    load: { loadOf: () => load },
    health: {
      stateOf: () => "healthy",
      beginProbe: () => ({ dispose: () => {} }),
      reportSuccess: () => {},
      reportFailure: () => {},
    },
    availability: alwaysAvailable,
    estimates,
  });
  const [service] = configuration.current?.document.services ?? [];
  if (!service) throw new Error("no service");
  const rule = {
    callers: ["c"],
    services: ["alerts"],
    batch: false,
    deadlineMilliseconds: 1,
  };
  const caller = callerSchema.parse({
    name: "c",
    group: "g",
    keySha256: "0".repeat(64),
  });
  const request = (milliseconds: number, maximumTokens?: number) => ({
    caller,
    grant: { service, rule },
    deadline: clock.deadlineIn(milliseconds),
    maximumTokens,
  });
  const pass = (milliseconds: number) => now += milliseconds;
  return { gate, estimates, request, pass };
}

const LOAD = {
  ownLive: 0,
  otherLive: 0,
  batch: 0,
  receivedAt: undefined,
  reported: undefined,
};

test("refuses a request that cannot be answered before its deadline", (t) => {
  const { gate, estimates, request } = createGate(0);
  t.true(gate.check(request(500), SINGLE_CALLER).isOk());
  estimates.observe("alerts", TYPICAL_LATENCY);
  const refused = gate.check(request(500), SINGLE_CALLER);
  t.like(refused._unsafeUnwrapErr(), {
    code: "overloaded",
    verdict: "not-run",
    retryAfterSeconds: 1,
  });
  t.true(gate.check(request(1_300), SINGLE_CALLER).isOk());
  t.true(gate.check(request(500, 10), SINGLE_CALLER).isOk());
});

test("queued streams add to the expected wait", (t) => {
  const { gate, estimates, request } = createGate(CAPACITY * 4);
  estimates.observe("alerts", TYPICAL_LATENCY);
  const refused = gate.check(request(2_000), SINGLE_CALLER);
  t.is(refused._unsafeUnwrapErr().retryAfterSeconds, 3);
  t.true(gate.check(request(10_000), SINGLE_CALLER).isOk());
});

test("expired latency estimates refuse no request", (t) => {
  const { gate, estimates, request, pass } = createGate(0);
  estimates.observe("alerts", TYPICAL_LATENCY);
  t.true(gate.check(request(500), SINGLE_CALLER).isErr());
  pass(10_000);
  t.true(gate.check(request(500), SINGLE_CALLER).isOk());
});

test("at capacity, a caller above its fair share is refused", (t) => {
  const full = createGate(CAPACITY);
  const greedy = { byCaller: 60, total: 64, callers: 2 };
  const modest = { byCaller: 4, total: 64, callers: 2 };
  const { gate, request } = full;
  t.true(gate.check(request(10_000), greedy).isErr());
  t.true(gate.check(request(10_000), modest).isOk());
  const free = createGate(CAPACITY / 2);
  t.true(free.gate.check(free.request(10_000), greedy).isOk());
});
