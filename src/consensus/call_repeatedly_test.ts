import { err, ok } from "neverthrow";
import test from "ava";
import { z } from "zod";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { type Failure, mayHaveRun, notRun } from "../common/mod.ts";
import { defineMethod } from "../rpc/mod.ts";
import { callRepeatedly } from "./call_repeatedly.ts";
import type { IControlClient, IDeadlineOptions } from "./types.ts";

const METHOD = defineMethod("test.read", {
  params: z.object({}),
  result: z.object({}),
});

/** Fake client of a leader that first fails and then answers after a delay. */
function leader(
  clock: VirtualClock,
  answer: { failures?: Failure[]; afterMilliseconds?: number },
) {
  const { failures = [], afterMilliseconds = 0 } = answer;
  const calls: number[] = [];
  const control = {
    async call(_: unknown, __: unknown, options: IDeadlineOptions) {
      calls.push(Math.round(clock.remaining(options.deadline)));
      const failure = failures.shift();
      if (failure) return err(failure);
      const answered = clock.deadlineIn(afterMilliseconds);
      if (answered > options.deadline) {
        await clock.sleepUntil(options.deadline);
        return err(mayHaveRun("deadline-exceeded", "no answer in time"));
      }
      await clock.sleepUntil(answered);
      return ok({});
    },
  } as unknown as IControlClient;
  return { control, calls };
}

async function run(
  answer: Parameters<typeof leader>[1],
  waitMilliseconds?: number,
) {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const { control, calls } = leader(clock, answer);
  const result = callRepeatedly(control, METHOD, {}, {
    clock,
    deadline: clock.deadlineIn(3_000),
    waitMilliseconds,
  });
  await time.advance(4_000);
  return { result: await result, calls };
}

test("timeout of an attempt includes the wait of the method", async (t) => {
  const { result, calls } = await run({ afterMilliseconds: 1_000 }, 1_000);
  t.true(result.isOk());
  t.deepEqual(calls, [1_700]);
});

test("call is repeated after a change of leader", async (t) => {
  const failures = [
    notRun("not-leader", "another voter leads"),
    mayHaveRun("deadline-exceeded", "no answer in time"),
  ];
  const { result, calls } = await run({ failures });
  t.true(result.isOk());
  t.is(calls.length, 3);
});

test("failure says may-have-run if any attempt may have run", async (t) => {
  const failures = [
    mayHaveRun("unavailable", "connection closed"),
    ...Array.from({ length: 100 }, () => notRun("unavailable", "no leader")),
  ];
  const { result } = await run({ failures });
  t.is(result._unsafeUnwrapErr().verdict, "may-have-run");
});

test("call is not repeated after a final failure", async (t) => {
  const failures = [notRun("bad-request", "no such command")];
  const { result, calls } = await run({ failures });
  t.is(result._unsafeUnwrapErr().code, "bad-request");
  t.is(calls.length, 1);
});
