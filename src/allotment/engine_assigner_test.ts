import test, { type ExecutionContext } from "ava";
import type { Deadline, IClock } from "../common/mod.ts";
import { SystemClock } from "../common/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import {
  EngineAssigner,
  OWNERSHIP_LEASE_MILLISECONDS,
} from "./engine_assigner.ts";

const ENGINES = 8;

/** Clock that the test advances. */
class ManualClock extends SystemClock {
  now = 1_000;

  override monotonic(): Deadline {
    return this.now as Deadline;
  }
}

function documentOf(engines: number): Configuration {
  return {
    places: [{ region: "here", failureDomains: ["a"] }],
    engines: Array.from({ length: engines }, (_, index) => ({
      id: `engine-${index}`,
      failureDomain: "a",
    })),
  } as Configuration;
}

function start(t: ExecutionContext) {
  const clock = new ManualClock();
  const log = new FakeLog();
  const server: IRpcServer = { handle: () => ({ dispose: () => {} }) };
  const assigner = new EngineAssigner(log, server, {
    clock: clock as IClock,
    document: () => documentOf(ENGINES),
  });
  t.teardown(() => assigner.dispose());
  const claim = (id: string, claims: string[] = [], region = "here") =>
    assigner.claim({
      address: { id, address: "127.0.0.1", port: 1 },
      region,
      claims,
      accepting: true,
      revision: "",
    }).owned;
  return { clock, log, claim };
}

test("engines are divided equally between instances", (t) => {
  const { clock, claim } = start(t);
  clock.now += OWNERSHIP_LEASE_MILLISECONDS;
  const first = claim("one");
  t.is(first.length, ENGINES);
  const second = claim("two");
  t.deepEqual(second, []);
  const kept = claim("one", first);
  t.is(kept.length, ENGINES / 2);
  t.deepEqual(claim("two"), [], "not before the owner has given them up");
  claim("one", kept);
  const moved = claim("two");
  t.is(moved.length, ENGINES / 2);
  t.deepEqual(moved.filter((id) => kept.includes(id)), []);
});

test("an owner that stops claiming loses its engines after the lease", (t) => {
  const { clock, claim } = start(t);
  clock.now += OWNERSHIP_LEASE_MILLISECONDS;
  t.is(claim("one").length, ENGINES);
  clock.now += OWNERSHIP_LEASE_MILLISECONDS;
  t.deepEqual(claim("two"), []);
  clock.now += 1;
  t.is(claim("two").length, ENGINES);
});

test("a new leader accepts the claims of existing owners", (t) => {
  const { clock, log, claim } = start(t);
  log.setLeadership(2, true);
  t.deepEqual(claim("two"), []);
  t.deepEqual(claim("one", ["engine-1"]), ["engine-1"]);
  clock.now += OWNERSHIP_LEASE_MILLISECONDS;
  t.false(claim("two").includes("engine-1"));
});

test("instances of other regions own no engines", (t) => {
  const { clock, claim } = start(t);
  clock.now += OWNERSHIP_LEASE_MILLISECONDS;
  t.deepEqual(claim("far", ["engine-1"], "elsewhere"), []);
  t.is(claim("one").length, ENGINES);
});
