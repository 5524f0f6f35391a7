import type { Buffer } from "node:buffer";
import { setTimeout } from "node:timers/promises";
import test from "ava";
import { z } from "zod";
import { defineEvent } from "./define_event.ts";
import { type IDroppedLines, JsonLineLog } from "./json_line_log.ts";

const EVENT = defineEvent(1, "request-placed", {
  level: "info",
  help: "A request was placed.",
  fields: { request: z.string() },
});

/** Bytes that a pipe accepts in one atomic write. */
const MAXIMUM_WRITE_BYTES = 4_096;

/** Lines that are written for one event in a second. */
const LINE_LIMIT = 200;

function fakeOutput() {
  const state = { text: "", isBlocked: false, waiting: 0 };
  const write = (
    bytes: Buffer,
    done: (error: Error | null, written: number) => void,
  ) => {
    if (state.isBlocked) {
      state.waiting = bytes.length;
      return;
    }
    state.text += bytes.toString();
    queueMicrotask(() => done(null, bytes.length));
  };
  return { state, write };
}

test("lines are JSON with time, instance and event number", async (t) => {
  const { state, write } = fakeOutput();
  const log = new JsonLineLog("entry-1", write);
  log.emit(EVENT, { request: "r-1" });
  log.emit(EVENT, { request: "r-2" });
  await setTimeout(0);
  const lines = state.text.trim().split("\n").map((line) => JSON.parse(line));
  t.is(lines.length, 2);
  t.like(lines[1], {
    instance: "entry-1",
    event: 1,
    name: "request-placed",
    request: "r-2",
  });
  t.false(Number.isNaN(Date.parse(lines[0].at)));
  log.dispose();
});

test("burst of lines is split into atomic writes of whole lines", async (t) => {
  const writes: string[] = [];
  const log = new JsonLineLog("entry-1", (bytes, done) => {
    writes.push(bytes.toString());
    queueMicrotask(() => done(null, bytes.length));
  });
  const sent = LINE_LIMIT / 2;
  for (let count = 0; count < sent; count++) {
    log.emit(EVENT, { request: `r-${count}`.padEnd(100) });
  }
  await setTimeout(0);
  t.true(writes.every((text) => text.length <= MAXIMUM_WRITE_BYTES));
  t.true(writes.every((text) => text.endsWith("}\n")));
  t.is(writes.join("").trim().split("\n").length, sent);
  log.dispose();
});

test("lines over the rate limit are dropped and counted", async (t) => {
  const { state, write } = fakeOutput();
  const log = new JsonLineLog("entry-1", write);
  const dropped: IDroppedLines[] = [];
  log.onLinesDropped((lines) => dropped.push(lines));
  for (let count = 0; count < 10 * LINE_LIMIT; count++) {
    log.emit(EVENT, { request: `r-${count}` });
  }
  await setTimeout(1_100);
  t.is(state.text.trim().split("\n").length, LINE_LIMIT);
  t.deepEqual(dropped, [{
    name: "request-placed",
    lines: 9 * LINE_LIMIT,
  }]);
  log.dispose();
});

test("reader that stops reading neither blocks nor fills memory", (t) => {
  const { state, write } = fakeOutput();
  state.isBlocked = true;
  const log = new JsonLineLog("entry-1", write);
  const request = "x".repeat(20_000);
  for (let count = 0; count < LINE_LIMIT; count++) log.emit(EVENT, { request });
  t.true(log.droppedLines > LINE_LIMIT / 2);
  t.is(state.text, "");
  log.dispose();
});
