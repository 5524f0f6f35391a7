import test from "ava";
import {
  ConfigurationHolder,
  configurationSchema,
} from "../configuration/mod.ts";
import { CallersServer } from "../entry/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { testDocument } from "../../testing/control_fixtures.ts";
import { fetchJson } from "../../testing/http.ts";

test("instance without serving permission refuses callers", async (t) => {
  const events = new SilentEventLog();
  const holder = new ConfigurationHolder(events);
  holder.setIfNewer({
    version: 1,
    changeId: "1",
    operator: "test",
    acceptedAt: 1,
    document: configurationSchema.parse(testDocument(1)),
  });
  const permission = { mayServe: false, reason: "cut off" };
  const server = new CallersServer(holder, [], { events, permission });
  const port = await server.listen("127.0.0.1", 0);
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
