import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { type Deadline, type Failure, notRun } from "../common/mod.ts";
import {
  configurationSchema,
  ConfigurationSection,
  type Engine,
} from "../configuration/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import type {
  EngineOrder,
  EngineState,
  IEngineAdapter,
} from "../targets/mod.ts";
import { testDocument } from "../../testing/control_fixtures.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import {
  OrderIssuer,
  UNFENCED_ORDER_DELAY_MILLISECONDS,
} from "./order_issuer.ts";
import { OrderReconciler } from "./order_reconciler.ts";

/**
 * Fake engine that records the orders it carries out and optionally checks
 * fencing numbers.
 */
class FakeEngines {
  readonly carriedOut: string[] = [];
  checksFencing = true;
  /** Called after the state is read and before the answer arrives. */
  onStateRead = () => {};
  #state: EngineState = {
    models: ["old"],
    adapters: [],
    role: "both",
    fencingNumber: 0,
  };

  state(): Promise<Result<EngineState, Failure>> {
    const state = structuredClone(this.#state);
    this.onStateRead();
    return Promise.resolve(ok(state));
  }

  order(
    _engine: Engine,
    order: EngineOrder,
    options: { fencingNumber: number },
  ): Promise<Result<EngineState, Failure>> {
    const { fencingNumber } = options;
    if (this.checksFencing && fencingNumber < this.#state.fencingNumber) {
      const refusal = notRun("conflict", "old fencing number");
      return Promise.resolve(err(refusal));
    }
    this.#state.fencingNumber = fencingNumber;
    this.carriedOut.push(
      `${Math.floor(fencingNumber / 1_000_000)} ${order.kind}`,
    );
    if (order.kind === "load-model") this.#state.models.push(order.model);
    if (order.kind === "unload-model") {
      this.#state.models = this.#state.models.filter((model) =>
        model !== order.model
      );
    }
    if (order.kind === "set-role") this.#state.role = order.role;
    if (order.kind === "load-adapter") {
      const { model, adapter, version } = order;
      this.#state.adapters.push({ model, adapter, version });
    }
    return Promise.resolve(ok(structuredClone(this.#state)));
  }
}

function createVoter(engines: FakeEngines, term: number, engineCount = 1) {
  const clock = new FakeClock();
  const events = new SilentEventLog();
  const section = new ConfigurationSection();
  const log = new FakeLog([section]);
  log.setLeadership(term, true);
  const document = configurationSchema.parse({
    ...testDocument(1, engineCount),
    weightsStore: { loadsPerMinute: 60 },
  });
  for (const engine of document.engines) {
    engine.checksFencing = engines.checksFencing;
    engine.serves = {
      models: ["new"],
      adapters: [{ model: "new", adapter: "tone", version: "2" }],
      role: "decode",
    };
  }
  section.apply({
    kind: "apply",
    changeId: "1",
    operator: "test",
    expectedVersion: 0,
    document,
  }, { index: 1, term, proposedAt: 0 });
  const adapter = engines as unknown as IEngineAdapter;
  const issuer = new OrderIssuer(log, { engines: adapter, clock, events });
  const options = { section, issuer, engines: adapter, clock, events };
  const reconciler = new OrderReconciler(log, options);
  return { clock, log, issuer, reconciler, document };
}

type Voter = ReturnType<typeof createVoter>;

async function reconcileRepeatedly(
  { clock, reconciler }: Voter,
): Promise<void> {
  for (let round = 0; round < 8; round++) {
    clock.advance(1_000);
    await reconciler.reconcileAll();
  }
}

test("engine reaches the state in the inventory", async (t) => {
  const engines = new FakeEngines();
  const leader = createVoter(engines, 3);
  await reconcileRepeatedly(leader);
  t.deepEqual(engines.carriedOut, [
    "3 set-role",
    "3 load-model",
    "3 load-adapter",
    "3 unload-model",
  ]);
  t.true(await leader.reconciler.reconcileAll());
});

test("orders to load a model are rate-limited", async (t) => {
  const engines = new FakeEngines();
  const { clock, reconciler } = createVoter(engines, 1, 3);
  const loads = () =>
    engines.carriedOut.filter((order) => order.includes("load-model")).length;
  await reconciler.reconcileAll();
  t.is(loads(), 0);
  clock.advance(1_000);
  await reconciler.reconcileAll();
  t.is(loads(), 1);
  await reconciler.reconcileAll();
  t.is(loads(), 1);
});

test("engine that checks fencing numbers refuses the old leader", async (t) => {
  const engines = new FakeEngines();
  const oldLeader = createVoter(engines, 1);
  const newLeader = createVoter(engines, 2);
  newLeader.clock.advance(1_000);
  oldLeader.clock.advance(1_000);
  await newLeader.reconciler.reconcileAll();
  // The old leader has not yet noticed that it was replaced.
  await oldLeader.reconciler.reconcileAll();
  await reconcileRepeatedly(newLeader);
  t.true(engines.carriedOut.every((order) => order.startsWith("2 ")));
});

test("new leader delays orders to an engine without fencing", async (t) => {
  const engines = new FakeEngines();
  engines.checksFencing = false;
  const oldLeader = createVoter(engines, 1);
  oldLeader.clock.advance(UNFENCED_ORDER_DELAY_MILLISECONDS);
  const newLeader = createVoter(engines, 2);
  // An order of the old leader may still be in progress at this point.
  await reconcileRepeatedly(newLeader);
  t.deepEqual(engines.carriedOut, []);
  await oldLeader.reconciler.reconcileAll();
  t.true(engines.carriedOut.length > 0);
  oldLeader.log.leaseUntil = oldLeader.clock.monotonic();
  const before = engines.carriedOut.length;
  await reconcileRepeatedly(oldLeader);
  t.is(engines.carriedOut.length, before);
  newLeader.clock.advance(UNFENCED_ORDER_DELAY_MILLISECONDS);
  await reconcileRepeatedly(newLeader);
  t.true(await newLeader.reconciler.reconcileAll());
});

test("leader that was paused beyond its lease issues no order", async (t) => {
  for (const checksFencing of [true, false]) {
    const engines = new FakeEngines();
    engines.checksFencing = checksFencing;
    const { clock, log, reconciler, issuer, document } = createVoter(
      engines,
      1,
    );
    clock.advance(UNFENCED_ORDER_DELAY_MILLISECONDS);
    log.leaseUntil = clock.deadlineIn(500);
    engines.onStateRead = () => clock.advance(10_000);
    await reconciler.reconcileAll();
    const [engine] = document.engines;
    if (!engine) return t.fail();
    const result = await issuer.issue(engine, {
      kind: "set-role",
      role: "both",
    });
    t.is(result._unsafeUnwrapErr().verdict, "not-run");
    t.deepEqual(engines.carriedOut, []);
  }
});

test("follower issues no orders to engines", async (t) => {
  const engines = new FakeEngines();
  const follower = createVoter(engines, 1);
  follower.log.setLeadership(2, false);
  await reconcileRepeatedly(follower);
  follower.log.leaseUntil = Infinity as Deadline;
  await reconcileRepeatedly(follower);
  t.deepEqual(engines.carriedOut, []);
});
