import { Agent, createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
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

/** Sends a request to a target that answers with the given bytes for ever. */
async function sendToEndless(t: ExecutionContext, bytes: string) {
  const clock = new SystemClock();
  const agent = new Agent();
  const server = createTcpServer((socket) => {
    const write = () => {
      while (!socket.destroyed && socket.write(bytes));
    };
    socket.on("error", () => {});
    socket.on("drain", write);
    socket.once("data", write);
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
      deadline: clock.deadlineIn(10_000),
      signal: new AbortController().signal,
    },
  );
}

// A target that sent interim answers without end took all processor time of
// this process until the deadline.
test("endless interim answers end the request", async (t) => {
  for (const head of ["100 Continue", "102 Processing", "103 Early Hints"]) {
    const bytes = `HTTP/1.1 ${head}\r\n\r\n`.repeat(100);
    await t.throwsAsync(sendToEndless(t, bytes), {
      instanceOf: HttpExchangeError,
      code: "invalid",
    });
  }
});

test("other endless bytes before an answer end the request", async (t) => {
  const cases = [
    { bytes: "HTTP/1.1 200 OK\r\nA: b\r\n", code: "connection" },
    { bytes: "x", code: "connection" },
    { bytes: "A: b\r\n", code: "connection" },
    // The parser skips empty lines.
    { bytes: "\r\n", code: "invalid" },
  ];
  for (const { bytes, code } of cases) {
    await t.throwsAsync(sendToEndless(t, bytes.repeat(100)), {
      instanceOf: HttpExchangeError,
      code,
    });
  }
});
