import test from "ava";
import { FakeLog } from "../../testing/fake_log.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import type { ConfigurationSection } from "../configuration/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { MemberRegistry } from "./member_registry.ts";
import { heartbeatMethod, type Instance, NO_REVISION } from "./messages.ts";

const INSTANCE: Instance = {
  ...{ id: "one", address: "10.0.0.1", port: 1, region: "r" },
  ...{ failureDomain: "a", state: "serving", incarnation: "first" },
  configurationVersion: 1,
};

// Guards against an instance that seems to serve again after it has reported
// that it leaves.
test("heartbeat that arrives after a later one replaces nothing", async (t) => {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(1));
  const registry = new MemberRegistry(
    new FakeLog(),
    {
      current: undefined,
      onAccepted: () => ({ dispose: () => {} }),
    } as unknown as ConfigurationSection,
    {
      ...{ clock, server: network.connect("leader", clock) },
      events: new SilentEventLog(),
      fleetSnapshot: () => ({ members: [], leavingTargets: new Set() }),
    },
  );
  t.teardown(() => registry.dispose());
  const endpoint = network.connect("one", clock);
  const beat = async (sequence: number, changes: Partial<Instance>) => {
    const leader = { id: "leader", address: "leader", port: 1 };
    const instance = { ...INSTANCE, ...changes };
    const params = { instance, sequence, revision: NO_REVISION };
    const deadline = clock.deadlineIn(3_000);
    void endpoint.call(leader, heartbeatMethod, params, { deadline });
    await time.advance(10);
    return registry.members.find(({ id }) => id === "one")?.state;
  };
  t.is(await beat(2, { state: "leaving" }), "leaving");
  t.is(await beat(1, { state: "serving" }), "leaving");
  t.is(await beat(1, { incarnation: "second" }), "serving");
  t.is(await beat(3, { state: "leaving" }), "serving");
});
