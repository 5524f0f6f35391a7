import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { eventText } from "../../testing/fake_engines.ts";
import {
  EVENTS,
  RESUMABLE_ROUTE,
  setUpDispatcher,
  WHOLE_STREAM,
} from "../../testing/stream_dispatcher_fixture.ts";
import type { Deadline } from "../common/mod.ts";
import type { Route } from "../service_routes/mod.ts";

const NON_RESUMABLE_ROUTE: Route = {
  ...RESUMABLE_ROUTE,
  isResumable: false,
  attempts: 1,
};

test("forwards a complete stream unchanged", async (t) => {
  const { sink, run, table, engines } = setUpDispatcher([
    { kind: "stream", events: EVENTS },
  ]);
  await run(RESUMABLE_ROUTE);
  t.is(sink.text, WHOLE_STREAM);
  t.is(sink.endKind, "end");
  t.deepEqual(sink.headers, [["Engine-Signature", "signed by one"]]);
  t.is(table.ownLiveCounts().size, 0);
  t.false(engines.received[0]?.freshConnection);
});

test("resumes a broken stream after its last complete event", async (t) => {
  for (const inEvent of [false, true]) {
    const { sink, run, engines, health } = setUpDispatcher([
      { kind: "stream", events: EVENTS, breakAt: 4, inEvent },
      { kind: "stream", events: EVENTS },
    ]);
    await run(RESUMABLE_ROUTE);
    t.is(sink.text, WHOLE_STREAM);
    t.is(sink.endKind, "end");
    t.deepEqual(sink.headers, [["Engine-Signature", "signed by one"]]);
    t.is(engines.received[1]?.request.lastEventId, "3");
    t.true(engines.received[0]?.isClosed);
    t.true(health.isSuspect("one"));
  }
});

test("aborts a broken stream that cannot be resumed", async (t) => {
  const { sink, run, engines } = setUpDispatcher([
    { kind: "stream", events: EVENTS, breakAt: 4 },
  ]);
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.endKind, "abort");
  t.is(engines.received.length, 1);
  t.true(engines.received[0]?.freshConnection);
});

test("broken stream is aborted and does not look complete", async (t) => {
  const { sink, run } = setUpDispatcher([
    { kind: "stream", events: 3, breakAt: 4, inEvent: true },
  ]);
  await run({ ...NON_RESUMABLE_ROUTE });
  t.is(sink.text, [1, 2, 3].map(eventText).join(""));
  t.is(sink.endKind, "end");
  const broken = setUpDispatcher([{ kind: "stream", events: 4, breakAt: 4 }]);
  await broken.run(NON_RESUMABLE_ROUTE);
  t.is(broken.sink.endKind, "abort");
});

test("request that engines did not run goes to another engine", async (t) => {
  const { sink, run, engines, health } = setUpDispatcher([
    { kind: "status", status: 503, notRun: true },
    { kind: "unreachable" },
    { kind: "stream", events: EVENTS },
  ]);
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.text, WHOLE_STREAM);
  t.deepEqual(engines.received.map((send) => send.engine), ["one", "three"]);
  t.false(health.isSuspect("one"), "an overloaded engine is not suspected");
  t.true(health.isSuspect("two"));
});

test("request that no engine ran is refused with a retry delay", async (t) => {
  const { sink, run } = setUpDispatcher([{ kind: "unreachable" }], ["one"]);
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.failure?.kind, "refused");
  t.true((sink.failure?.retryMilliseconds ?? 0) > 0);
});

test("non-idempotent request that may have run is not retried", async (t) => {
  const { sink, run, engines } = setUpDispatcher([{ kind: "foreign" }]);
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.failure?.kind, "failed");
  t.is(engines.received.length, 1);
});

test("status 503 without the not-run header is not a refusal", async (t) => {
  const { sink, run } = setUpDispatcher([{ kind: "status", status: 503 }]);
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.failure?.kind, "failed");
});

test("forwards an engine's error answer with its signature", async (t) => {
  const { sink, run } = setUpDispatcher([{ kind: "status", status: 500 }]);
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.status, 500);
  t.deepEqual(sink.headers, [["Engine-Signature", "signed by one"]]);
});

test("idempotent request runs on no more engines than allowed", async (t) => {
  const { sink, run, engines } = setUpDispatcher([
    { kind: "status", status: 500 },
    { kind: "status", status: 500 },
    { kind: "stream", events: EVENTS },
  ]);
  await run(RESUMABLE_ROUTE);
  t.is(engines.received.length, 2);
  t.is(sink.status, 500);
});

test("closes the engine's connection when the caller leaves", async (t) => {
  const { sink, run, engines } = setUpDispatcher([{ kind: "silent" }]);
  const done = run(NON_RESUMABLE_ROUTE);
  await Promise.resolve();
  sink.disconnect.abort();
  await done;
  t.is(engines.received.length, 1);
  t.is(sink.failure, undefined);
});

test("refuses at once when live requests take all slots", async (t) => {
  const { sink, run, table, engines } = setUpDispatcher([], ["one"]);
  for (let count = 0; count < 12; count++) table.beginRequest("one");
  await run(RESUMABLE_ROUTE);
  t.is(sink.failure?.kind, "refused");
  t.is(engines.received.length, 0);
});

// Guards against streams with events of two software versions (inc-defd).
test("broken stream goes on only at the version that began it", async (t) => {
  const broken = { kind: "stream", events: EVENTS, breakAt: 4 } as const;
  const whole = { kind: "stream", events: EVENTS } as const;
  const ids = ["one", "two", "three"];
  const same = setUpDispatcher([broken, whole], ids, { two: "v2" });
  await same.run(RESUMABLE_ROUTE);
  t.is(same.sink.text, WHOLE_STREAM);
  t.deepEqual(same.engines.received.map((send) => send.engine), [
    "one",
    "three",
  ]);
  const other = setUpDispatcher([broken, whole], ids, {
    two: "v2",
    three: "v2",
  });
  await other.run(RESUMABLE_ROUTE);
  t.is(other.engines.received.length, 1);
  t.is(other.sink.endKind, "abort");
});

// Guards against streams with events of two software versions (inc-defd).
test("resumption of a stream of unknown version is refused", async (t) => {
  const { sink, run, engines } = setUpDispatcher(
    [{ kind: "stream", events: EVENTS }],
    ["one", "two"],
    { two: "v2" },
  );
  await run(RESUMABLE_ROUTE, {
    lastEventId: "3",
    resumedRequest: "begun-elsewhere",
  });
  t.is(sink.failure?.kind, "refused");
  t.is(engines.received.length, 0);
});

test("unframed answer without an event is broken off, not complete", async (t) => {
  const { sink, run, engines } = setUpDispatcher([
    { kind: "stream", events: 0, unframed: true },
    { kind: "stream", events: EVENTS, unframed: true },
  ]);
  await run(RESUMABLE_ROUTE);
  t.is(sink.text, WHOLE_STREAM);
  t.is(engines.received.length, 2);
  const resumed = setUpDispatcher([{
    kind: "stream",
    events: EVENTS,
    unframed: true,
  }]);
  resumed.origins.record({
    ...{ request: "begun", service: "writer", softwareVersion: "v1" },
    expiresAt: Infinity as Deadline,
  });
  await resumed.run(RESUMABLE_ROUTE, {
    lastEventId: String(EVENTS),
    resumedRequest: "begun",
  });
  t.is(resumed.sink.endKind, "end");
});

// Guards against the loss of an instance's own links counting as a fault of all
// engines (day-1e2e).
test("engines are not blamed for lost links of this instance", async (t) => {
  const links = { isCutOff: true, hasPath: true };
  const { sink, run, health, parts } = setUpDispatcher(
    [
      { kind: "unreachable" },
      { kind: "stream", events: EVENTS, breakAt: 4 },
      { kind: "stream", events: EVENTS },
    ],
    ["one"],
    {},
    links,
  );
  await run({ ...RESUMABLE_ROUTE, attempts: 2 }, { contentIds: ["content:1"] });
  t.false(health.isSuspect("one"));
  t.is(parts.report(1)?.message.brokenRuns.length, 0);
  t.is(sink.endKind, "abort", "the engine that may have run it is excluded");
});

test("engine is tried again after a request did not reach it", async (t) => {
  const links = { isCutOff: true, hasPath: true };
  const { sink, run, engines } = setUpDispatcher(
    [{ kind: "unreachable" }, { kind: "stream", events: EVENTS }],
    ["one"],
    {},
    links,
  );
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.text, WHOLE_STREAM);
  t.deepEqual(engines.received.map(({ engine }) => engine), ["one"]);
});

// Guards against callers who wait for several connections that cannot open.
test("request without any path is refused after one attempt", async (t) => {
  const links = { isCutOff: true, hasPath: false };
  const { sink, run, table } = setUpDispatcher(
    [{ kind: "unreachable" }, { kind: "stream", events: EVENTS }],
    ["one", "two"],
    {},
    links,
  );
  await run(NON_RESUMABLE_ROUTE);
  t.is(sink.failure?.kind, "refused");
  t.is(table.ownLiveCounts().size, 0);
});

// Guards against stalled streams that never end, as the engine sends some bytes
// now and then.
test("stream that stalls between bytes goes on elsewhere", async (t) => {
  for (const stallBytes of [":", ": still here\n\n", "d"]) {
    const { sink, run, engines } = setUpDispatcher([
      { kind: "stream", events: EVENTS, stallAt: 4, stallBytes },
      { kind: "stream", events: EVENTS },
    ]);
    await run(RESUMABLE_ROUTE);
    t.is(sink.endKind, "end");
    t.is(sink.text.replaceAll(": still here\n\n", ""), WHOLE_STREAM);
    t.is(engines.received[1]?.request.lastEventId, "3");
    t.true(engines.received[0]?.isClosed);
  }
});

// Guards against sound streams that are cut because their caller reads slowly.
test("stream of a slow reader stays at its engine", async (t) => {
  const { sink, run, engines, health } = setUpDispatcher([
    { kind: "stream", events: EVENTS },
  ]);
  const write = sink.write.bind(sink);
  sink.write = async (bytes) => {
    await sleep(600);
    await write(bytes);
  };
  await run(RESUMABLE_ROUTE);
  t.is(sink.text, WHOLE_STREAM);
  t.is(sink.endKind, "end");
  t.is(engines.received.length, 1);
  t.false(health.isSuspect("one"));
});

// Guards against requests whose attempts all go to open connections that have
// gone silent, while new connections work.
test("further attempt uses a connection of its own", async (t) => {
  const { sink, run, engines } = setUpDispatcher([
    { kind: "stream", events: EVENTS, breakAt: 4 },
    { kind: "stream", events: EVENTS },
  ]);
  await run(RESUMABLE_ROUTE);
  t.is(sink.text, WHOLE_STREAM);
  t.deepEqual(
    engines.received.map(({ freshConnection }) => freshConnection),
    [false, true],
  );
});

/** Pause of a sound engine, longer than the silence that may lead elsewhere. */
const PAUSE = { pauseAt: 3, pauseMilliseconds: 1_000 };

// Guards against answers that are broken off while their engine pauses,
// although nothing that was sent can be taken back.
test("answer that has begun outlives a pause of its engine", async (t) => {
  for (const kind of ["safe", "unsafe"] as const) {
    const { sink, run, engines } = setUpDispatcher([
      { kind: "stream", events: EVENTS, ...PAUSE },
    ]);
    await run({ ...RESUMABLE_ROUTE, kind });
    t.is(sink.text, WHOLE_STREAM);
    t.is(sink.endKind, "end");
    t.is(engines.received.length, 1);
  }
});

// Guards against streams that are broken off while their engine pauses and no
// other one could take them over.
test("stream outlives a pause while there is no other engine", async (t) => {
  const script = { kind: "stream", events: EVENTS, ...PAUSE } as const;
  const alone = setUpDispatcher([script], ["one"]);
  await alone.run(RESUMABLE_ROUTE);
  t.is(alone.sink.text, WHOLE_STREAM);
  t.is(alone.engines.received.length, 1);
  // Another engine goes on at once if there is one.
  const others = setUpDispatcher([script, { kind: "stream", events: EVENTS }]);
  await others.run(RESUMABLE_ROUTE);
  t.is(others.sink.text, WHOLE_STREAM);
  t.is(others.engines.received.length, 2);
});

// Guards against requests that get no answer at the end of a planned stop, or
// a promise that they have not run although an engine has them.
test("end of a stop answers what has no answer yet", async (t) => {
  const sent = setUpDispatcher([{ kind: "silent" }]);
  const running = sent.run(NON_RESUMABLE_ROUTE);
  await sleep(20);
  t.is(sent.engines.received.length, 1);
  sent.dispatcher.endUnanswered("the instance stops");
  t.is(sent.sink.failure?.kind, "failed");
  sent.sink.disconnect.abort();
  await running;

  const unsent = setUpDispatcher([{ kind: "stream", events: EVENTS }]);
  let place = () => {};
  unsent.source.requestPlacement = () =>
    new Promise((resolve) => place = () => resolve(undefined));
  const waiting = unsent.run(NON_RESUMABLE_ROUTE);
  await sleep(20);
  unsent.dispatcher.endUnanswered("the instance stops");
  t.is(unsent.sink.failure?.kind, "refused");
  place();
  await waiting;
  t.deepEqual(unsent.engines.received, []);
  t.is(unsent.table.ownLiveCounts().size, 0);
});
