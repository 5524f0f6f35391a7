import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { drain } from "./drain.ts";
import { HttpEdge } from "./http_edge.ts";
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
