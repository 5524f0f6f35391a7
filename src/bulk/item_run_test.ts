import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { type EngineScript, FakeEngines } from "../../testing/fake_engines.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SystemClock } from "../common/mod.ts";
import type { IEngineClient } from "../streams/mod.ts";
import {
  type IItemProgress,
  type ItemOutcome,
  LocalExecutor,
} from "./item_run.ts";

const ITEM = { id: "item", path: "/", headers: {}, body: "", tokens: 10 };

test("unframed answer without an event is not an item's result", async (t) => {
  const client = new FakeEngines([
    { kind: "stream", events: 0, unframed: true },
    { kind: "stream", events: 2, unframed: true },
  ]);
  const executor = new LocalExecutor(client, new SystemClock(), {
    leaving: { has: () => false },
  });
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const { signal } = new AbortController();
  const run = { item: ITEM, host: "reports.example", progress, signal };
  t.like(await executor.run(listedEngine("one"), run), { kind: "broken" });
  t.deepEqual(await executor.run(listedEngine("two"), run), {
    kind: "complete",
  });
  t.deepEqual(progress.data, ["word 1", "word 2"]);
});

// Guards against requests to engines that have announced that they leave.
test("item is not sent to an engine that has announced to leave", async (t) => {
  const client = new FakeEngines([{ kind: "stream", events: 1 }]);
  const executor = new LocalExecutor(client, new SystemClock(), {
    leaving: { has: (engine) => engine === "one" },
  });
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const { signal } = new AbortController();
  const run = { item: ITEM, host: "reports.example", progress, signal };
  t.like(await executor.run(listedEngine("one"), run), { kind: "turned-away" });
  t.is(client.received.length, 0);
});

// Guards against items that wait for bytes that are no events, without end.
test("item leaves an engine that sends no events but endless bytes", async (t) => {
  let isOpen = true;
  const client: IEngineClient = {
    send: () =>
      Promise.resolve({
        status: 200,
        headers: [],
        isNotRun: false,
        isGenuine: true,
        isFramed: true,
        isRelayed: false,
        body: (async function* () {
          while (isOpen) {
            await sleep(50);
            yield Buffer.from("data: rubbish\n\n");
          }
        })(),
        close: () => isOpen = false,
      }),
  };
  const executor = new LocalExecutor(client, new SystemClock(), {
    leaving: { has: () => false },
  });
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const { signal } = new AbortController();
  const run = { item: ITEM, host: "reports.example", progress, signal };
  t.like(await executor.run(listedEngine("one"), run), {
    kind: "broken",
    isBrokenOff: false,
  });
  t.deepEqual(progress.data, []);
});

/** Runs an item at engines that answer by the scripts, one after the other. */
async function runAt(
  scripts: EngineScript[],
  progress: IItemProgress = { data: [], lastEventId: undefined },
): Promise<ItemOutcome[]> {
  const client = new FakeEngines(scripts);
  const executor = new LocalExecutor(client, new SystemClock(), {
    leaving: { has: () => false },
  });
  const { signal } = new AbortController();
  const run = { item: ITEM, host: "reports.example", progress, signal };
  const outcomes: ItemOutcome[] = [];
  for (let index = 0; index < scripts.length; index++) {
    outcomes.push(await executor.run(listedEngine(`engine-${index}`), run));
  }
  return outcomes;
}

// Guards against a repeated answer for another item on a kept connection, for
// which a sound item was given up or counted as failed.
test("answer for another item decides nothing about this one", async (t) => {
  const outcomes = await runAt([
    { kind: "status", status: 422, isForeign: true },
    { kind: "status", status: 500, isForeign: true },
    { kind: "status", status: 422 },
  ]);
  t.deepEqual(outcomes.map(({ kind }) => kind), [
    "broken",
    "broken",
    "impossible",
  ]);
});

// Guards against results that lack the events after an engine was lost.
test("unframed answer without a further event completes no item", async (t) => {
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const outcomes = await runAt([
    { kind: "stream", events: 3, breakAt: 3 },
    { kind: "stream", events: 2, unframed: true },
    { kind: "stream", events: 3, unframed: true },
  ], progress);
  t.deepEqual(outcomes.map(({ kind }) => kind), [
    "broken",
    "broken",
    "complete",
  ]);
  t.deepEqual(progress.data, ["word 1", "word 2", "word 3"]);
});

// Guards against results with the text of an error or with events twice.
test("bytes that do not continue an item's stream are not its result", async (t) => {
  const other = "HTTP/1.1 500 Internal Server Error\r\n\r\n" +
    "id: 9\ndata: of another answer\n\n";
  const progress: IItemProgress = { data: [], lastEventId: undefined };
  const outcomes = await runAt([
    { kind: "stream", events: 2, unframed: true, extra: other },
    { kind: "stream", events: 3, ignoresLastEventId: true },
    { kind: "stream", events: 3 },
  ], progress);
  t.like(outcomes[0], { kind: "broken", isBrokenOff: false });
  t.like(outcomes[1], { kind: "broken", isBrokenOff: false });
  t.is(outcomes[2]?.kind, "complete");
  t.deepEqual(progress.data, ["word 1", "word 2", "word 3"]);
});

/** Answer of numbered events that never ends, and how many were read. */
function endlessEvents(data: string) {
  const sent = { events: 0 };
  const client: IEngineClient = {
    send: () =>
      Promise.resolve({
        status: 200,
        headers: [],
        isNotRun: false,
        isGenuine: true,
        isFramed: true,
        isRelayed: false,
        body: (async function* () {
          for (;;) {
            sent.events += 1;
            yield await Promise.resolve(
              Buffer.from(`id: ${sent.events}\ndata: ${data}\n\n`),
            );
          }
        })(),
        close: () => {},
      }),
  };
  return { sent, client };
}

// Guards against stores that keep the events of an engine without end, as
// numbered events count as progress.
test("item leaves an engine that sends more than it asked for", async (t) => {
  const answers = [
    { tokens: ITEM.tokens, data: "word", most: 2 * ITEM.tokens + 10 },
    { tokens: ITEM.tokens, data: "x".repeat(100_000), most: 1 },
    { tokens: 0, data: "x".repeat(100_000), most: 10 },
    { tokens: 0, data: "", most: 1_000_001 },
  ];
  for (const { tokens, data, most } of answers) {
    const { sent, client } = endlessEvents(data);
    const executor = new LocalExecutor(client, new SystemClock(), {
      leaving: { has: () => false },
    });
    const progress: IItemProgress = { data: [], lastEventId: undefined };
    const { signal } = new AbortController();
    const item = { ...ITEM, tokens };
    const run = { item, host: "reports.example", progress, signal };
    const outcome = await executor.run(listedEngine("one"), run);
    t.like(outcome, { kind: "broken", isExcessive: true, isBrokenOff: false });
    t.true(progress.data.length <= most, `${progress.data.length} events`);
    t.true(sent.events <= most + 1);
  }
});
