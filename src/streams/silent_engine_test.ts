import test from "ava";
import type { EngineScript } from "../../testing/fake_engines.ts";
import { ENGINE_SLOTS } from "../../testing/listed_engine.ts";
import {
  EVENTS,
  type IDispatcherSetup,
  RESUMABLE_ROUTE,
  setUpDispatcher,
  WHOLE_STREAM,
} from "../../testing/stream_dispatcher_fixture.ts";

const WHOLE: EngineScript = { kind: "stream", events: EVENTS };

/** Answers of a sound engine that pauses in the stream, or before its head. */
const PAUSES: EngineScript[] = [
  { ...WHOLE, pauseAt: 3, pauseMilliseconds: 1_000 },
  { ...WHOLE, headMilliseconds: 1_400 },
];

const MEMORY_TOKENS = 1_000;

/** Tokens of a request; an engine holds two of them. */
const REQUEST_TOKENS = 450;

/** Two engines, of which the one that is not used first is out of memory. */
function setUpFullMemory(scripts: EngineScript[]): IDispatcherSetup {
  const setup = setUpDispatcher(scripts, ["one", "two"], {}, {
    memoryTokens: MEMORY_TOKENS,
  });
  for (let count = 0; count < 2; count++) {
    setup.table.beginRequest("two", REQUEST_TOKENS);
  }
  return setup;
}

// Streams were broken off while a sound engine paused, as another one had free
// slots, but no memory for them (review/9).
test("answer outlives a pause while others are out of memory", async (t) => {
  for (const pause of PAUSES) {
    const { sink, run, engines, table, health } = setUpFullMemory([pause]);
    await run(RESUMABLE_ROUTE, { tokens: REQUEST_TOKENS });
    t.is(sink.text, WHOLE_STREAM);
    t.is(sink.endKind, "end");
    t.is(engines.received.length, 1);
    t.false(health.isSuspect("one"));
    t.deepEqual(table.ownLiveTokens(), [["two", 2 * REQUEST_TOKENS]]);
  }
});

// The same where only the leader knows that there is no place.
test("answer outlives a pause while the leader refuses a place", async (t) => {
  const reasons = ["slot", "rate", "memory", "share"] as const;
  const cases = PAUSES.flatMap((pause) =>
    reasons.map((missing) => ({ pause, missing }))
  );
  await Promise.all(cases.map(async ({ pause, missing }) => {
    const { sink, run, engines, source, table } = setUpDispatcher([pause]);
    let asked = 0;
    source.requestPlacement = () => {
      asked += 1;
      if (asked === 1) return Promise.resolve(undefined);
      const kind = "refused" as const;
      return Promise.resolve({ kind, retryMilliseconds: 100, missing });
    };
    await run(RESUMABLE_ROUTE);
    t.is(sink.text, WHOLE_STREAM);
    t.is(engines.received.length, 1);
    t.true(asked > 1);
    t.is(table.ownLiveCounts().size, 0);
  }));
});

test("silent engine's request moves to a place that is reserved", async (t) => {
  for (const pause of PAUSES) {
    const { sink, run, engines, table } = setUpDispatcher([pause, WHOLE]);
    await run(RESUMABLE_ROUTE);
    t.is(sink.text, WHOLE_STREAM);
    t.deepEqual(engines.received.map(({ engine }) => engine), ["one", "two"]);
    t.is(table.ownLiveCounts().size, 0);
  }
});

test("answer that continues while a place is reserved is kept", async (t) => {
  for (const pause of PAUSES) {
    const { sink, run, engines, source, table } = setUpDispatcher([pause]);
    let asked = 0;
    source.requestPlacement = () =>
      new Promise((resolve) => {
        setTimeout(() => resolve(undefined), asked++ === 0 ? 0 : 1_200);
      });
    await run(RESUMABLE_ROUTE);
    t.is(sink.text, WHOLE_STREAM);
    t.is(engines.received.length, 1);
    t.is(table.ownLiveCounts().get("one"), undefined);
    // The place is returned also if it comes after the end of the answer.
    await new Promise((resolve) => setTimeout(resolve, 1_300));
    t.is(table.ownLiveCounts().size, 0);
  }
});

// Guards against requests that stay at a dead engine, as all others are full,
// and against work that is thrown away for a place in a queue.
test("request waits elsewhere unless a sound engine answers it", async (t) => {
  const [inStream, beforeHead] = PAUSES as [EngineScript, EngineScript];
  const cases = [
    { pause: inStream, isSuspect: false, sends: 1 },
    { pause: inStream, isSuspect: true, sends: 2 },
    { pause: beforeHead, isSuspect: false, sends: 2 },
  ];
  for (const { pause, isSuspect, sends } of cases) {
    const ids = ["one", "two"];
    const { sink, run, engines, table, health } = setUpDispatcher(
      [pause, WHOLE],
      ids,
    );
    for (let slot = 0; slot < ENGINE_SLOTS; slot++) table.beginRequest("two");
    const answered = run(RESUMABLE_ROUTE);
    if (isSuspect) health.recordFailure("one", "another request failed");
    await answered;
    t.is(sink.text, WHOLE_STREAM);
    t.is(engines.received.length, sends);
  }
});

// Under overload, requests at silent engines kept the leader busy.
test("leader is not asked for places that are known to be taken", async (t) => {
  for (const pause of PAUSES) {
    const { sink, run, source } = setUpFullMemory([pause]);
    let asked = 0;
    source.requestPlacement = () => {
      asked += 1;
      return Promise.resolve(undefined);
    };
    await run(RESUMABLE_ROUTE, { tokens: REQUEST_TOKENS });
    t.is(sink.text, WHOLE_STREAM);
    t.is(asked, 1);
  }
});

// Guards against more and more requests at an engine that is dead, while the
// others are full.
test("engine is suspect while it delays an answer's head", async (t) => {
  const head = { ...WHOLE, headMilliseconds: 1_400 };
  const { sink, run, health } = setUpFullMemory([head]);
  const reasons: string[] = [];
  const recordFailure = health.recordFailure.bind(health);
  health.recordFailure = (engine, reason) => {
    recordFailure(engine, reason);
    t.true(health.isSuspect("one"));
    reasons.push(reason);
  };
  await run(RESUMABLE_ROUTE, { tokens: REQUEST_TOKENS });
  t.is(sink.text, WHOLE_STREAM);
  t.deepEqual(reasons, ["the engine has not begun to answer in time"]);
  t.false(health.isSuspect("one"));
});

// The reserved place may be lost after the answer was closed.
test("request returns to a paused engine if the other refuses", async (t) => {
  for (const pause of PAUSES) {
    const refusal = { kind: "status", status: 503, notRun: true } as const;
    const ids = ["one", "two"];
    const { sink, run, engines } = setUpDispatcher(
      [pause, refusal, WHOLE],
      ids,
    );
    await run(RESUMABLE_ROUTE);
    t.is(sink.text, WHOLE_STREAM);
    t.deepEqual(
      engines.received.map(({ engine }) => engine),
      ["one", "two", "one"],
    );
  }
});

test("request without another place ends at its deadline", async (t) => {
  const setup = setUpDispatcher(
    [{ ...WHOLE, headMilliseconds: 10_000 }],
    ["one"],
  );
  const { clock, sink, run, engines } = setup;
  const routeDeadline = clock.deadlineIn(1_500);
  await run(RESUMABLE_ROUTE, { routeDeadline });
  t.true(clock.isPast(routeDeadline));
  t.is(sink.failure?.kind, "timeout");
  t.is(engines.received.length, 1);
});

/** Comments that an engine sends at once. */
const COMMENTS = ": comment\n\n".repeat(20_000);

// Guards against an engine that keeps an instance busy with bytes that are no
// events, until the deadline of the request.
test("engine that sends comments without end has failed", async (t) => {
  const { sink, run, health, clock } = setUpDispatcher([
    { kind: "stream", events: EVENTS, stallAt: 3, stallBytes: COMMENTS },
  ]);
  const routeDeadline = clock.deadlineIn(30_000);
  await run({ ...RESUMABLE_ROUTE, attempts: 1 }, {
    deadline: routeDeadline,
    routeDeadline,
  });
  t.is(sink.endKind, "abort");
  t.false(clock.isPast(routeDeadline));
  t.true(health.isSuspect("one"));
});
