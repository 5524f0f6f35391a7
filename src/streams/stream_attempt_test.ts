import { Buffer } from "node:buffer";
import test from "ava";
import {
  type EngineScript,
  eventText,
  FakeEngines,
  FakeSink,
} from "../../testing/fake_engines.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SystemClock } from "../common/mod.ts";
import type { Route } from "../service_routes/mod.ts";
import {
  type AttemptOutcome,
  type IStreamProgress,
  StreamAttempt,
} from "./stream_attempt.ts";

const ROUTE: Route = {
  name: "alerts",
  host: "alerts.example",
  pathPrefix: "/alerts/",
  kind: "stream",
  timeoutMilliseconds: 5_000,
  objectiveMilliseconds: 300,
  priority: 0,
  shares: [{ service: "writer", weight: 1 }],
  attempts: 2,
  isResumable: true,
};

const ERROR_ANSWER = "HTTP/1.1 503 Service Unavailable\r\n" +
  'Request-Id: other\r\n\r\n{"error": "overloaded"}';

/** Makes one attempt for each script, as parts of the same answer. */
async function attempt(
  scripts: EngineScript[],
  lastEventId?: string,
  route = ROUTE,
) {
  const clock = new SystemClock();
  const streams = new StreamAttempt(new FakeEngines(scripts), clock);
  const sink = new FakeSink();
  const progress: IStreamProgress = {
    lastEventId: undefined,
    firstByteAt: undefined,
    lastByteAt: undefined,
  };
  const deadline = clock.deadlineIn(5_000);
  const outcomes: AttemptOutcome[] = [];
  for (let index = 0; index < scripts.length; index++) {
    outcomes.push(
      await streams.run(listedEngine(`engine-${index}`), {
        ...{ id: "request", method: "POST", path: "/alerts/1", headers: [] },
        body: Buffer.alloc(0),
        route,
        ...{ deadline, routeDeadline: deadline, isReturned: false },
        ...{ promptParts: [], contentIds: [] },
        ...{ lastEventId, resumedRequest: undefined },
      }, {
        ...{ sink, progress, freshConnection: false },
        limits: {
          mayFailOver: true,
          firstEventDeadline: clock.deadlineIn(600),
          silenceMilliseconds: 400,
          deadline,
        },
        onFirstEvent: () => {},
      }),
    );
  }
  return { outcomes, sink };
}

function textOf(...ids: number[]): string {
  return ids.map(eventText).join("");
}

// Guards against an error's head and text in the middle of a stream.
test("error that an engine writes into its stream is not forwarded", async (t) => {
  const { outcomes, sink } = await attempt([
    { kind: "stream", events: 2, unframed: true, extra: ERROR_ANSWER },
    { kind: "stream", events: 4 },
  ]);
  t.like(outcomes[0], { kind: "failed", fault: "engine", isBroken: false });
  t.is(outcomes[1]?.kind, "answered");
  t.is(sink.text, textOf(1, 2, 3, 4));
});

// Guards against an error's text in a stream that another engine continues.
test("error answer does not continue a stream", async (t) => {
  for (const status of [400, 404, 429, 500, 503]) {
    const { outcomes, sink } = await attempt([
      { kind: "stream", events: 4, breakAt: 3 },
      { kind: "status", status },
      { kind: "status", status: 503, notRun: true },
    ]);
    t.true(outcomes.every(({ kind }) => kind === "failed"));
    t.is(sink.text, textOf(1, 2), `${status}`);
    t.is(sink.endKind, undefined, `${status}`);
  }
});

// Guards against a stream that ends as if it were complete when the engine that
// continues it is lost before its first event.
test("unframed answer without an event does not complete a stream", async (t) => {
  const { outcomes, sink } = await attempt([
    { kind: "stream", events: 4, breakAt: 3 },
    { kind: "stream", events: 2, unframed: true },
  ]);
  t.like(outcomes[1], { kind: "failed", isBroken: true });
  t.is(sink.endKind, undefined);
  const commented = await attempt([
    { kind: "stream", events: 4, breakAt: 3 },
    { kind: "stream", events: 2, unframed: true, extra: ": ping\n\n" },
  ]);
  t.like(commented.outcomes[1], { kind: "failed", isBroken: true });
});

// Guards against events that come twice.
test("engine that starts a stream again does not continue it", async (t) => {
  const { outcomes, sink } = await attempt([
    { kind: "stream", events: 4, breakAt: 3 },
    { kind: "stream", events: 4, ignoresLastEventId: true },
  ]);
  t.is(outcomes[1]?.kind, "failed");
  t.is(sink.text, textOf(1, 2));
  const resumed = await attempt([
    { kind: "stream", events: 4, ignoresLastEventId: true },
  ], "2");
  t.is(resumed.outcomes[0]?.kind, "failed");
  t.is(resumed.sink.text, "");
});

// Guards against a success with an empty body, framed as whole, for an engine
// that closed the connection behind its head.
test("unframed answer without a byte does not complete a request", async (t) => {
  for (const kind of ["safe", "unsafe"] as const) {
    const { outcomes, sink } = await attempt(
      [
        { kind: "stream", events: 0, unframed: true },
        { kind: "stream", events: 2, unframed: true },
      ],
      undefined,
      { ...ROUTE, kind },
    );
    t.like(outcomes[0], { kind: "failed", verdict: "may-have-run" });
    t.like(outcomes[1], { kind: "answered", status: 200 });
    t.is(sink.text, textOf(1, 2));
  }
  const framed = [{ kind: "stream", events: 0 } as const];
  const { outcomes } = await attempt(framed, undefined, {
    ...ROUTE,
    kind: "safe",
  });
  t.like(outcomes[0], { kind: "answered" }, "its length says that it is empty");
});
