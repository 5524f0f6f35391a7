import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { FakeEngines } from "../../testing/fake_engines.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SystemClock } from "../common/mod.ts";
import type { IEngineClient } from "../streams/mod.ts";
import { type IItemProgress, LocalExecutor } from "./item_run.ts";

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
