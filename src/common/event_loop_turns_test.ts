import { Buffer } from "node:buffer";
import test from "ava";
import { inTurns, nextTurn } from "./event_loop_turns.ts";

/** Number of turns that the event loop takes until a task has ended. */
async function countTurns(task: Promise<unknown>): Promise<number> {
  let turns = 0;
  let hasEnded = false;
  void task.then(() => hasEnded = true);
  while (!hasEnded) {
    await new Promise((resolve) => setImmediate(resolve));
    turns += 1;
  }
  return turns;
}

test("each turn of the event loop resumes one caller", async (t) => {
  const callers = Array.from({ length: 20 }, () => nextTurn());
  t.true(await countTurns(Promise.all(callers)) >= 20);
});

async function* parts(count: number, bytes: number): AsyncGenerator<Buffer> {
  for (let part = 0; part < count; part++) {
    yield await Promise.resolve(Buffer.alloc(bytes));
  }
}

async function readAll(body: AsyncIterable<Buffer>): Promise<number> {
  let bytes = 0;
  for await (const part of inTurns(body)) bytes += part.length;
  return bytes;
}

// Guards against other callers who wait while engines send as fast as they can.
test("large answers leave turns to other work", async (t) => {
  const answers = Array.from({ length: 8 }, () => readAll(parts(10, 64 << 10)));
  t.true(await countTurns(Promise.all(answers)) >= 80);
  t.is(await readAll(parts(10, 64 << 10)), 10 * (64 << 10));
});

test("small answers are read at once", async (t) => {
  t.true(await countTurns(readAll(parts(100, 100))) <= 2);
});
