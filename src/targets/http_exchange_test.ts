import { Agent, createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { type Deadline, listen, SystemClock } from "../common/mod.ts";
import { exchange, HttpExchangeError } from "./http_exchange.ts";

const HEAD_MILLISECONDS = 400;

/** Sends a request to a target whose head comes after its deadline. */
async function sendLate(
  t: ExecutionContext,
  extendDeadline?: (clock: SystemClock) => Promise<Deadline | undefined>,
) {
  const clock = new SystemClock();
  const agent = new Agent();
  const server = createServer(async (_, response) => {
    await sleep(HEAD_MILLISECONDS);
    response.end("late");
  });
  const port = await listen(server, "127.0.0.1", { port: 0 });
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  return await exchange(
    { address: "127.0.0.1", port, method: "GET", path: "/" },
    {
      ...{ clock, agent },
      deadline: clock.deadlineIn(HEAD_MILLISECONDS / 4),
      ...extendDeadline && { extendDeadline: () => extendDeadline(clock) },
      signal: new AbortController().signal,
    },
  );
}

test("head is awaited as long as the deadline is extended", async (t) => {
  let extensions = 0;
  const response = await sendLate(t, (clock) => {
    extensions += 1;
    return Promise.resolve(clock.deadlineIn(HEAD_MILLISECONDS / 4));
  });
  t.is(response.statusCode, 200);
  t.true(extensions > 1);
});

test("head that comes before the decision is used", async (t) => {
  const response = await sendLate(t, async () => {
    await sleep(2 * HEAD_MILLISECONDS);
    return undefined;
  });
  t.is(response.statusCode, 200);
});

test("request without a later deadline has timed out", async (t) => {
  const extensions = [
    undefined,
    () => Promise.resolve(undefined),
    () => Promise.reject(new Error("broken")),
  ];
  for (const extend of extensions) {
    const error = await t.throwsAsync(sendLate(t, extend), {
      instanceOf: HttpExchangeError,
      code: "timeout",
    });
    t.true(error?.mayHaveRun);
  }
});
