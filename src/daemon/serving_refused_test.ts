import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import {
  ConfigurationHolder,
  configurationSchema,
} from "../configuration/mod.ts";
import { CallersServer } from "../entry/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { testDocument } from "../../testing/control_fixtures.ts";
import { fetchJson } from "../../testing/http.ts";

async function startServer(
  permission: { mayServe: boolean; reason: string },
) {
  const events = new SilentEventLog();
  const holder = new ConfigurationHolder(events);
  holder.setIfNewer({
    version: 1,
    changeId: "1",
    operator: "test",
    acceptedAt: 1,
    document: configurationSchema.parse(testDocument(1)),
  });
  const server = new CallersServer(holder, [], { events, permission });
  return { server, port: await server.listen("127.0.0.1", 0) };
}

test("instance without serving permission refuses callers", async (t) => {
  const permission = { mayServe: false, reason: "cut off" };
  const { server, port } = await startServer(permission);
  const ask = () => fetchJson(`http://127.0.0.1:${port}/v1/models`);
  const refused = await ask();
  t.is(refused.status, 503);
  t.is(refused.headers.get("retry-after"), "1");
  t.is(refused.body.error.verdict, "not-run");
  t.is(refused.body.error.message, "cut off");
  permission.mayServe = true;
  t.is((await ask()).status, 401);
  server.dispose();
});

// Guards against requests that are cut off by a planned stop, as they arrive on
// a connection that was accepted just before the listener closed.
test("request on a connection accepted before a stop is answered", async (t) => {
  const permission = { mayServe: true, reason: "" };
  const { server, port } = await startServer(permission);
  const socket = connect({ host: "127.0.0.1", port });
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (bytes) => received += bytes.toString());
  await once(socket, "connect");
  // The server has accepted the connection once it has answered another one.
  await fetchJson(`http://127.0.0.1:${port}/v1/models`);
  const drained = server.drain();
  socket.write("GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n");
  await drained;
  server.dispose();
  t.regex(received, /^HTTP\/1\.1 503/);
  socket.destroy();
});
