import { Buffer } from "node:buffer";
import { once } from "node:events";
import { request } from "node:http";
import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import { eventually } from "../../testing/eventually.ts";
import { SilentEventLog } from "../events/mod.ts";
import { HttpEdge } from "./http_edge.ts";

const REQUEST = "POST / HTTP/1.1\r\nHost: one.example\r\n" +
  "Content-Length: 2\r\n\r\nhi";
const RUBBISH = "rubbish that is no request\r\n\r\n";

/** Returns what the edge writes until it closes the connection. */
async function send(t: ExecutionContext, bytes: string): Promise<string> {
  const edge = new HttpEdge(() => new Promise(() => {}), {
    events: new SilentEventLog(),
  });
  t.teardown(() => edge.dispose());
  const port = await edge.listen("127.0.0.1", 0);
  const socket = connect({ host: "127.0.0.1", port });
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (part) => received += part.toString());
  socket.write(bytes);
  await once(socket, "close");
  return received;
}

test("bytes that are no request are answered 400", async (t) => {
  t.regex(await send(t, RUBBISH), /^HTTP\/1\.1 400 Bad Request\r\n/);
});

// Guards against an answer to a request that still runs, made for the bytes
// after it.
test("bytes after a request in progress are not answered", async (t) => {
  t.is(await send(t, REQUEST + RUBBISH), "");
});

// Guards against entries that run out of memory because many callers send
// large bodies at the same time.
test("body that finds no room is refused at once, until there is", async (t) => {
  let release = () => {};
  const held = new Promise<void>((resolve) => release = resolve);
  let handled = 0;
  const edge = new HttpEdge(async (_, response, body) => {
    handled += 1;
    await held;
    response.end(`${body.length}`);
  }, { events: new SilentEventLog() });
  t.teardown(() => edge.dispose());
  const port = await edge.listen("127.0.0.1", 0);
  const body = Buffer.alloc(4 * 1024 * 1024);
  const post = async () => {
    const outgoing = request({ host: "127.0.0.1", port, method: "POST" });
    outgoing.on("error", () => {});
    outgoing.end(body);
    const [response] = await once(outgoing, "response");
    let text = "";
    for await (const part of response) text += part;
    const { statusCode, headers } = response;
    return { text, statusCode, headers };
  };
  const waiting: Promise<{ text: string }>[] = [];
  for (let count = 0; count < 12; count++) waiting.push(post());
  await eventually("all are handled", () => handled === 12);
  const { statusCode, headers } = await post();
  t.is(statusCode, 503);
  t.true(Number(headers["retry-after"]) > 0);
  release();
  for (const { text } of await Promise.all(waiting)) {
    t.is(text, `${body.length}`);
  }
  t.is((await post()).text, `${body.length}`);
});
