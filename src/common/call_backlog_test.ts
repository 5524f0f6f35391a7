import { setImmediate as nextTurn } from "node:timers/promises";
import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { CallBacklog } from "./call_backlog.ts";

function createFixture() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const backlog = new CallBacklog(clock);
  const started: string[] = [];
  const enter = (name: string, milliseconds: number) =>
    void backlog.enter(clock.deadlineIn(milliseconds)).then((isInTime) =>
      started.push(isInTime ? name : `${name} late`)
    );
  return { time, started, enter };
}

// Guards against a leader that handles the exchanges of all entries in one turn
// of its event loop and answers nothing else in time (denied-short).
test("a burst of calls leaves turns to other work", async (t) => {
  const { started, enter } = createFixture();
  for (let count = 0; count < 100; count++) enter("call", 500);
  const perTurn: number[] = [];
  while (started.length < 100) {
    const before = started.length;
    await nextTurn();
    perTurn.push(started.length - before);
  }
  t.true(Math.max(...perTurn) <= 8);
});

test("calls of callers that have given up take no turn", async (t) => {
  const { time, started, enter } = createFixture();
  for (let count = 0; count < 50; count++) enter("old", 60);
  await time.advance(100);
  const before = started.filter((name) => name === "old").length;
  for (let count = 0; count < 50; count++) enter("expired", -1);
  enter("new", 500);
  await nextTurn();
  await nextTurn();
  t.true(started.includes("new"));
  t.is(started.filter((name) => name === "old").length, before);
  t.is(started.filter((name) => name === "expired").length, 0);
});

test("calls are handled in the order of their arrival", async (t) => {
  const { started, enter } = createFixture();
  const names = Array.from({ length: 20 }, (_, index) => `${index}`);
  for (const name of names) enter(name, 500);
  while (started.length < names.length) await nextTurn();
  t.deepEqual(started, names);
});
