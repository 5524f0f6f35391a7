import test, { type ExecutionContext } from "ava";
import { ok } from "neverthrow";
import { Emitter, SystemClock } from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import { engineSchema } from "../configuration/mod.ts";
import type { ITargetAvailability } from "../membership/mod.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import { eventually } from "../../testing/eventually.ts";
import { BatchAllowance } from "./batch_allowance.ts";
import { BatchStreams } from "./batch_streams.ts";
import { LiveActivity } from "./live_activity.ts";
import { LoadExchange } from "./load_exchange.ts";
import { SpareSlotsPolicy } from "./spare_slots_policy.ts";
import { TokenGaps } from "./token_gaps.ts";
import type { IEngineOwner, IEngineOwnership } from "./types.ts";

const clock = new SystemClock();
const engine = engineSchema.parse({
  id: "engine",
  service: "alerts",
  address: "127.0.0.1",
  port: 1,
  failureDomain: "a",
  maximumStreams: 16,
});

/** Ownership that the test sets. */
class ManualOwnership implements IEngineOwnership {
  owned = new Set<string>();
  others: IEngineOwner[] = [];
  readonly change = new Emitter<void>();
  readonly onChange = this.change.event;
}

/** Two instances; the first owns the engine. */
function start(t: ExecutionContext) {
  // deno-lint-ignore no-explicit-any
  const handlers = new Map<string, (params: any, context: any) => any>();
  const parts = ["owner", "other"].map((id) => {
    const server = {
      // deno-lint-ignore no-explicit-any
      handle: (_method: unknown, handler: any) => {
        handlers.set(id, handler);
        return { dispose: () => {} };
      },
    } as unknown as IRpcServer;
    const rpc = {
      call: async (peer: { id: string }, _method: unknown, params: unknown) =>
        await handlers.get(peer.id)?.(params, { from: id }) ?? ok({}),
    } as unknown as IRpcClient;
    const ownership = new ManualOwnership();
    const activity = new LiveActivity();
    const batch = new BatchStreams();
    const options = { rpc, server, clock, activity, batch };
    const exchange = new LoadExchange(ownership, options);
    t.teardown(() => exchange.dispose());
    return { ownership, activity, batch, exchange };
  });
  const [owner, other] = parts;
  if (!owner || !other) throw new Error("two instances are needed");
  owner.ownership.owned.add(engine.id);
  const address = { id: "owner", address: "127.0.0.1", port: 1 };
  other.ownership.others = [{ address, engines: [engine.id] }];
  other.ownership.change.fire();
  /** Delivers a report of live streams to the owner. */
  const report = (sequence: number, streams: number, process = "first") =>
    handlers.get("owner")?.({
      number: { process, sequence },
      live: [{ engineId: engine.id, streams }],
    }, { from: "third" });
  return { owner, other, report };
}

test("live streams of other instances lower the batch limit", async (t) => {
  const { owner, other } = start(t);
  const view = {
    document: { engines: [engine], services: [] },
    enginesOf: () => [engine],
  };
  const allowance = new BatchAllowance(
    owner.ownership,
    new SpareSlotsPolicy(),
    {
      clock,
      configuration: { current: view } as unknown as IConfigurationSource,
      availability: {
        stateOf: () => "live",
        onChange: () => ({ dispose: () => {} }),
      } as ITargetAvailability,
      load: owner.exchange,
      tokenGaps: new TokenGaps(clock),
    },
  );
  t.teardown(() => allowance.dispose());
  owner.ownership.change.fire();
  t.is(allowance.limitOf(engine.id), 15);
  const changed: number[] = [];
  allowance.onChange((id) => changed.push(allowance.limitOf(id)));
  const streams = [1, 2, 3].map(() => other.activity.begin(engine.id));
  await eventually(
    "the limit decreases",
    () => allowance.limitOf(engine.id) === 12,
  );
  t.deepEqual(changed, [12], "three changes are combined into one report");
  owner.activity.begin(engine.id);
  t.is(allowance.limitOf(engine.id), 11);
  streams.forEach((stream) => stream.dispose());
  await eventually(
    "the limit increases",
    () => allowance.limitOf(engine.id) === 14,
  );
});

test("load report is answered with the totals of all instances", async (t) => {
  const { owner, other } = start(t);
  owner.activity.begin(engine.id);
  owner.batch.begin(engine.id);
  other.activity.begin(engine.id);
  await eventually("totals arrive", () => {
    const { batch } = other.exchange.loadOf(engine.id);
    return batch === 1;
  });
  t.like(other.exchange.loadOf(engine.id), { ownLive: 1, otherLive: 1 });
  t.like(owner.exchange.loadOf(engine.id), { ownLive: 1, otherLive: 1 });
});

// Guards against live streams of an earlier moment that lower the batch limit.
test("report that arrives after a later one replaces nothing", (t) => {
  const { owner, report } = start(t);
  report(2, 3);
  report(1, 7);
  t.is(owner.exchange.loadOf(engine.id).otherLive, 3);
  report(1, 2, "second");
  t.is(owner.exchange.loadOf(engine.id).otherLive, 2);
});
