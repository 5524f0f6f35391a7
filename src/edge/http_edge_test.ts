import { once } from "node:events";
import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
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
