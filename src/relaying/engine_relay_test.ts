import { Buffer } from "node:buffer";
import test from "ava";
import {
  type EngineScript,
  eventText,
  FakeEngines,
} from "../../testing/fake_engines.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { EngineRelay } from "./engine_relay.ts";
import type { RelayOutcome } from "./messages.ts";
import type { IRelayedAnswerSink } from "./types.ts";

const EVENTS = 6;
const WHOLE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => eventText(index + 1),
).join("");

/** More requests at the same time than an instance forwards. */
const TOO_MANY = 300;

/** Records what an instance answers to another one. */
class FakeRelayedSink implements IRelayedAnswerSink {
  readonly disconnect = new AbortController();
  text = "";
  isFramed: boolean | undefined;
  endKind: "end" | "abort" | undefined;
  outcome: RelayOutcome | undefined;

  get signal(): AbortSignal {
    return this.disconnect.signal;
  }

  begin(answer: { isFramed: boolean }): void {
    this.isFramed = answer.isFramed;
    this.outcome = "answered";
  }

  write(bytes: Buffer): Promise<void> {
    this.text += bytes.toString();
    return Promise.resolve();
  }

  end(): void {
    this.endKind = "end";
  }

  abort(): void {
    this.endKind = "abort";
  }

  fail(outcome: RelayOutcome): void {
    this.outcome = outcome;
  }
}

function setup(
  scripts: EngineScript[],
  options: { isCutOff?: boolean; losesLinks?: boolean } = {},
) {
  const { isCutOff = false, losesLinks = false } = options;
  const clock = new SystemClock();
  const engines = new FakeEngines(scripts);
  const blamed: string[] = [];
  const listed = [
    listedEngine("one"),
    listedEngine("leaving", { isLeaving: true }),
  ];
  const relay = new EngineRelay({
    client: engines,
    table: { engine: (id) => listed.find((engine) => engine.id === id) },
    health: { recordFailure: (engine) => void blamed.push(engine) },
    links: { isCutOff, check: () => Promise.resolve(losesLinks) },
    clock,
    events: new SilentEventLog(),
  });
  const forward = async (engine = "one", sink = new FakeRelayedSink()) => {
    await relay.forward({
      from: "10.0.0.2",
      engine,
      freshConnection: true,
      request: {
        id: "request-1",
        method: "POST",
        path: "/alerts/1",
        headers: [],
        body: Buffer.alloc(0),
        deadline: clock.deadlineIn(5_000),
        lastEventId: undefined,
      },
    }, sink);
    return sink;
  };
  return { relay, engines, blamed, forward };
}

test("answer of the engine is forwarded unchanged", async (t) => {
  for (const unframed of [false, true]) {
    const { engines, forward } = setup([
      { kind: "stream", events: EVENTS, unframed },
    ]);
    const sink = await forward();
    t.is(sink.text, WHOLE_STREAM);
    t.is(sink.endKind, "end");
    t.is(sink.isFramed, !unframed);
    t.true(engines.received[0]?.freshConnection);
    t.is(engines.received[0]?.request.id, "request-1");
  }
});

// Guards against an answer that broke off reaching a caller as complete.
test("answer that breaks off does not look complete", async (t) => {
  const { blamed, forward } = setup([
    { kind: "stream", events: EVENTS, breakAt: 4, unframed: true },
  ]);
  const sink = await forward();
  t.is(sink.endKind, "abort");
  t.deepEqual(blamed, ["one"]);
});

// Guards against requests that travel through more than one instance.
test("instance without links of its own declines", async (t) => {
  const { engines, forward } = setup([], { isCutOff: true });
  t.is((await forward()).outcome, "declined");
  t.is(engines.received.length, 0);
});

test("instance that stops declines", async (t) => {
  const { relay, forward } = setup([]);
  t.true(relay.isOpen);
  relay.setStopping();
  t.false(relay.isOpen);
  t.is((await forward()).outcome, "declined");
});

// Guards against forwarding that takes the descriptors of an instance's own
// callers when most instances have lost their links.
test("instance declines more requests than it can hold", async (t) => {
  const { forward } = setup(
    Array.from({ length: TOO_MANY }, () => ({ kind: "silent" })),
  );
  const sinks = Array.from({ length: TOO_MANY }, () => new FakeRelayedSink());
  const ends = sinks.map((sink) => forward("one", sink));
  await Promise.resolve();
  const declined = sinks.filter(({ outcome }) => outcome === "declined").length;
  t.is(declined, TOO_MANY - 256);
  for (const { disconnect } of sinks) disconnect.abort();
  await Promise.all(ends);
});

// Guards against requests to engines that this instance knows to leave.
test("unknown and leaving engines are unavailable", async (t) => {
  const { engines, blamed, forward } = setup([]);
  t.is((await forward("unknown")).outcome, "unavailable");
  t.is((await forward("leaving")).outcome, "unavailable");
  t.is(engines.received.length, 0);
  t.deepEqual(blamed, []);
});

test("engine that cannot be reached is blamed", async (t) => {
  const { blamed, forward } = setup([{ kind: "unreachable" }]);
  t.is((await forward()).outcome, "unreached");
  t.deepEqual(blamed, ["one"]);
});

test("instance that finds its own links lost declines", async (t) => {
  const { blamed, forward } = setup([{ kind: "unreachable" }], {
    losesLinks: true,
  });
  t.is((await forward()).outcome, "declined");
  t.deepEqual(blamed, []);
});

// Guards against engines that work on for callers who have left.
test("engine's connection closes when the other instance leaves", async (t) => {
  const { engines, forward } = setup([{ kind: "stream", events: EVENTS }]);
  const sink = new FakeRelayedSink();
  sink.write = () => {
    sink.disconnect.abort();
    return Promise.resolve();
  };
  await forward("one", sink);
  t.true(engines.received[0]?.isClosed);
  t.not(sink.endKind, "end");
});
