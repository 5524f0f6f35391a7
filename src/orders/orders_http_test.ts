import test from "ava";
import { ok } from "neverthrow";
import { SystemClock } from "../common/mod.ts";
import {
  configurationSchema,
  ConfigurationSection,
} from "../configuration/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { RpcClient, RpcServer } from "../rpc/mod.ts";
import { HttpEngineAdapter } from "../targets/mod.ts";
import { testDocument } from "../../testing/control_fixtures.ts";
import { EngineStandin } from "../../testing/engine_standin.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import { registerCacheTransferHandlers } from "./cache_transfer.ts";
import { transferCacheMethod } from "./messages.ts";
import { OrderIssuer } from "./order_issuer.ts";
import { computeOrders } from "./desired_state.ts";

const clock = new SystemClock();
const events = new SilentEventLog();

test("engine executes orders, refuses an old fencing number", async (t) => {
  const standin = new EngineStandin({ checksFencing: true });
  const port = await standin.listen();
  const engines = new HttpEngineAdapter(clock);
  const [engine] = configurationSchema.parse({
    ...testDocument(1, 1),
    engines: [{
      id: "engine-0",
      service: "alerts",
      address: "127.0.0.1",
      port,
      failureDomain: "domain-0",
      checksFencing: true,
      serves: {
        models: ["alert-writer"],
        adapters: [{ model: "alert-writer", adapter: "tone", version: "2" }],
      },
    }],
  }).engines;
  if (!engine) return t.fail();
  const issuerOf = (term: number) => {
    const log = new FakeLog();
    log.setLeadership(term, true);
    return new OrderIssuer(log, { engines, clock, events });
  };
  const newIssuer = issuerOf(2);
  const deadline = clock.deadlineIn(10_000);
  const before = (await engines.state(engine, { deadline }))._unsafeUnwrap();
  for (const order of computeOrders(engine, before)) {
    t.true((await newIssuer.issue(engine, order)).isOk());
  }
  const after = (await engines.state(engine, { deadline }))._unsafeUnwrap();
  t.deepEqual(computeOrders(engine, after), []);
  const oldIssuer = issuerOf(1);
  const refused = await oldIssuer.issue(engine, {
    kind: "set-role",
    role: "decode",
  });
  t.is(refused._unsafeUnwrapErr().code, "conflict");
  t.is(refused._unsafeUnwrapErr().verdict, "not-run");
  engines.dispose();
  standin.destroy();
});

test("cache transfer exports from the source, then imports", async (t) => {
  const section = new ConfigurationSection();
  section.apply({
    kind: "apply",
    changeId: "1",
    operator: "test",
    expectedVersion: 0,
    document: configurationSchema.parse(testDocument(1, 2)),
  }, { index: 1, term: 1, proposedAt: 0 });
  const issued: string[] = [];
  const server = new RpcServer(clock, events);
  registerCacheTransferHandlers(server, {
    mayIssue: () => true,
    issue: (engine, order) => {
      issued.push(`${engine.id} ${order.kind}`);
      const state = { models: [], adapters: [], fencingNumber: 1 };
      return Promise.resolve(ok({ ...state, role: "both" as const }));
    },
  }, { section });
  const port = await server.listen("127.0.0.1", 0);
  const rpc = new RpcClient("client", clock, { events });
  const move = async (to: string) => {
    const params = { prefix: "hash", from: "engine-0", to };
    const peer = { id: "server", address: "127.0.0.1", port };
    const deadline = clock.deadlineIn(10_000);
    return await rpc.call(peer, transferCacheMethod, params, { deadline });
  };
  t.true((await move("engine-1")).isOk());
  t.deepEqual(issued, ["engine-0 export-cache", "engine-1 import-cache"]);
  t.is((await move("engine-9"))._unsafeUnwrapErr().code, "not-found");
  t.is(issued.length, 2);
  rpc.dispose();
  server.dispose();
});
