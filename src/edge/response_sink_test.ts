import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { SilentEventLog } from "../events/mod.ts";
import { HttpEdge } from "./http_edge.ts";
import { ResponseSink } from "./response_sink.ts";

/** Time in which the first bytes reach the caller. */
const DELIVERY_MILLISECONDS = 200;

/** Resolves with how a connection ended: with its end or with an error. */
function readToEnd(port: number, request: string) {
  return new Promise<{ text: string; error: string | undefined }>((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    let text = "";
    let error: string | undefined;
    socket.on("data", (bytes) => text += bytes.toString());
    socket.on("error", (reason) => error = reason.message);
    socket.on("close", () => resolve({ text, error }));
    socket.write(request);
  });
}

// Guards against an answer that broke off reaching a caller as complete.
test("aborted answer does not look complete over HTTP/1.0", async (t) => {
  const edge = new HttpEdge(async (_, response) => {
    const sink = new ResponseSink(response);
    sink.begin(200, [["Content-Type", "text/event-stream"]]);
    await sink.write(Buffer.from("id: 1\ndata: one\n\n"));
    // Node.js reports a reset that arrives with the last bytes as an end.
    await sleep(DELIVERY_MILLISECONDS);
    sink.abort();
  }, { events: new SilentEventLog() });
  t.teardown(() => edge.dispose());
  const port = await edge.listen("127.0.0.1", 0);
  const old = await readToEnd(port, "GET / HTTP/1.0\r\nHost: a\r\n\r\n");
  t.regex(old.error ?? "", /ECONNRESET/);
  const current = await readToEnd(port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  t.notRegex(current.text, /\r\n0\r\n\r\n$/, "the last chunk is missing");
});
