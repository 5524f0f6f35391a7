import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { SystemClock } from "../common/mod.ts";
import { type IEventLog, SilentEventLog } from "../events/mod.ts";
import { drain } from "./drain.ts";
import { type EdgeHandler, HttpEdge } from "./http_edge.ts";
import { Readiness } from "./readiness.ts";
import { answerJson } from "./response_sink.ts";

/** Opens a connection and collects what is received on it. */
async function open(port: number) {
  const socket: Socket = connect({ host: "127.0.0.1", port });
  const connection = { socket, received: "" };
  socket.on("data", (bytes) => connection.received += bytes.toString());
  socket.on("error", () => {});
  await new Promise((resolve) => socket.once("connect", resolve));
  return connection;
}

const REQUEST = "GET / HTTP/1.1\r\nHost: one.example\r\n\r\n";

/** An edge with its readiness, and the port on which it listens. */
async function startEdge(
  handler: EdgeHandler,
  events: IEventLog = new SilentEventLog(),
) {
  const edge = new HttpEdge(handler, { events });
  const readiness = new Readiness({
    hasRoutes: () => true,
    engineCount: () => 1,
    lacksKeyPermission: () => false,
  }, { events });
  return { edge, readiness, port: await edge.listen("127.0.0.1", 0) };
}

/** Resolves when the other side has closed a connection. */
async function untilClosed({ socket }: { socket: Socket }): Promise<void> {
  if (!socket.closed) {
    await new Promise((resolve) => socket.once("close", resolve));
  }
}

// Guards against requests that are cut off by a planned stop, as they arrive on
// a connection that was accepted just before the listener closed.
test("request on a connection accepted before the stop is served", async (t) => {
  const events = new SilentEventLog();
  const edge = new HttpEdge((_, response) => {
    answerJson(response, 200, { body: "served" });
    return Promise.resolve();
  }, { events });
  const readiness = new Readiness({
    hasRoutes: () => true,
    engineCount: () => 1,
    lacksKeyPermission: () => false,
  }, { events });
  const port = await edge.listen("127.0.0.1", 0);
  const clock = new SystemClock();
  const accepted = await open(port);
  let isListening = true;
  const closeListener = edge.closeListener.bind(edge);
  edge.closeListener = () => {
    closeListener();
    isListening = false;
  };
  const drained = drain(edge, readiness, {
    clock,
    deadline: clock.deadlineIn(20_000),
  });
  while (isListening) await sleep(1);
  // The request is on its way while the listener closes.
  accepted.socket.write(REQUEST);
  t.is(await drained, 0);
  edge.dispose();
  await sleep(20);
  t.regex(accepted.received, /^HTTP\/1\.1 200 OK/);
  t.regex(accepted.received, /Connection: close/);
  accepted.socket.destroy();
});

// Guards against requests that are still arriving at the end of a planned stop
// and get no answer.
test("incomplete requests are refused at the end of a stop", async (t) => {
  let handled = 0;
  const logged: string[] = [];
  const { edge, readiness, port } = await startEdge(() => {
    handled += 1;
    return Promise.resolve();
  }, { emit: ({ name }) => logged.push(name) });
  const clock = new SystemClock();
  const idle = await open(port);
  const head = await open(port);
  head.socket.write(REQUEST.slice(0, 20));
  const body = await open(port);
  body.socket.write(
    "POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 9\r\n\r\nhalf",
  );
  const deadline = clock.deadlineIn(200);
  await drain(edge, readiness, { clock, deadline });
  for (const connection of [idle, head, body]) await untilClosed(connection);
  t.is(idle.received, "");
  for (const { received } of [head, body]) {
    t.regex(received, /^HTTP\/1\.1 503 /);
    t.regex(received, /Retry-After: 0\.10\r\n/);
    t.regex(received, /Connection: close\r\n/);
  }
  t.is(handled, 0);
  t.false(logged.includes("edge-failed"));
  edge.dispose();
});

// Guards against kept connections on which requests arrive late in a stop.
test("answer that began before a stop closes its connection", async (t) => {
  let answer = () => {};
  const { edge, readiness, port } = await startEdge((_, response) => {
    answer = () => answerJson(response, 200, { body: "served" });
    return Promise.resolve();
  });
  const clock = new SystemClock();
  const connection = await open(port);
  connection.socket.write(REQUEST);
  while (edge.openRequests === 0) await sleep(1);
  const drained = drain(edge, readiness, {
    clock,
    deadline: clock.deadlineIn(20_000),
  });
  answer();
  await untilClosed(connection);
  t.regex(connection.received, /^HTTP\/1\.1 200 OK/);
  t.regex(connection.received, /Connection: close/);
  t.is(await drained, 0);
  edge.dispose();
});
