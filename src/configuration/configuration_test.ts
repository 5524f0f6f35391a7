import test from "ava";
import fc from "fast-check";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import {
  applyDocument,
  ControlLeader,
  ControlMember,
  testDocument,
} from "../../testing/control_fixtures.ts";
import { eventually } from "../../testing/eventually.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { applyPatch, makePatch } from "./configuration_patches.ts";
import { ConfigurationSection } from "./configuration_section.ts";
import { type AcceptedConfiguration, rolloutMethod } from "./messages.ts";
import { type Configuration, configurationSchema } from "./schema.ts";

const clock = new SystemClock();

function accepted(version: number, document: object): AcceptedConfiguration {
  return {
    version,
    changeId: `change-${version}`,
    operator: "test",
    acceptedAt: version,
    document: configurationSchema.parse(document),
  };
}

test("one of several concurrent changes is accepted", async (t) => {
  const leader = new ControlLeader();
  const address = await leader.listen();
  const member = await ControlMember.start({
    id: "member-0",
    voters: () => [address],
  });
  t.teardown(() => {
    member.store.dispose();
    leader.store.dispose();
  });
  await eventually(
    "heartbeats received",
    () => leader.registry.hasLiveMajority,
  );
  const outputs = await Promise.all(
    [1, 2, 3, 4].map((operator) =>
      applyDocument(member, {
        changeId: `change-${operator}`,
        version: 0,
        document: testDocument(operator),
      })
    ),
  );
  const winners = outputs.filter(({ kind }) => kind === "accepted");
  t.is(winners.length, 1);
  const winner = winners[0]?.record?.changeId;
  t.true(outputs.every(({ record }) => record?.changeId === winner));

  const later = { version: 1, document: testDocument(9) };
  await applyDocument(member, { changeId: "later", ...later });
  // The operator of the accepted change did not receive the answer and
  // retries.
  const index = Number(winner?.slice("change-".length));
  const again = await applyDocument(member, {
    changeId: `${winner}`,
    version: 0,
    document: testDocument(index),
  });
  t.deepEqual(again, winners[0]);
  t.is(leader.section.current?.changeId, "later");
});

test("rollout lists the instances without the version", async (t) => {
  const leader = new ControlLeader();
  const address = await leader.listen();
  const voters = () => [address];
  const members = await Promise.all(
    ["member-0", "member-1", "member-2"].map((id) =>
      ControlMember.start({ id, voters })
    ),
  );
  t.teardown(() => {
    for (const { store } of [...members, leader]) store.dispose();
  });
  await eventually(
    "heartbeats received",
    () => leader.registry.members.length === 3,
  );
  const [first, , last] = members as [ControlMember, object, ControlMember];
  const rollout = async () => {
    const answer = await first.control.call(rolloutMethod, { version: 1 }, {
      deadline: clock.deadlineIn(5_000),
    });
    return answer._unsafeUnwrap();
  };
  last.store.dispose();
  const document = testDocument(1);
  await applyDocument(first, { changeId: "1", version: 0, document });
  await eventually(
    "in force at two instances",
    async () => (await rollout()).inForce.length === 2,
  );
  const { missing } = await rollout();
  t.deepEqual(missing.map(({ id }) => id), ["member-2"]);
  t.regex(missing[0]?.reason ?? "", /^no configuration in force yet/);
  await eventually(
    "stopped instance lost",
    async () => (await rollout()).lost.length === 1,
  );
  t.deepEqual((await rollout()).missing, []);
});

test("version in force never decreases", (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 20 })), (versions) => {
      const holder = new ConfigurationHolder(new SilentEventLog());
      let highest = 0;
      for (const version of versions) {
        holder.setIfNewer(accepted(version, testDocument(version, 1)));
        highest = Math.max(highest, version);
        if (holder.current?.version !== highest) return false;
        const { document } = holder.current;
        if (document.services[0]?.model !== `model-${highest}`) return false;
      }
      return true;
    }),
    { seed: 41 },
  );
  t.pass();
});

test("patch reproduces the new configuration", (t) => {
  const document = fc.record({
    engines: fc.uniqueArray(fc.integer({ min: 0, max: 12 })),
    ports: fc.integer({ min: 1, max: 3 }),
  }).map(({ engines, ports }): Configuration =>
    configurationSchema.parse({
      ...testDocument(ports, 0),
      engines: engines.map((id) => ({
        id: `engine-${id}`,
        service: "alerts",
        address: "127.0.0.1",
        port: id % ports,
        failureDomain: "domain-0",
      })),
    })
  );
  fc.assert(
    fc.property(document, document, (before, after) => {
      const from = accepted(1, before);
      const to = accepted(2, after);
      const patch = JSON.parse(JSON.stringify(makePatch(from, to)));
      t.deepEqual(applyPatch(from, patch), to);
      const other = accepted(1, { ...before, services: [], engines: [] });
      const wrong = applyPatch(other, patch);
      if (wrong) t.deepEqual(wrong, to);
    }),
    { seed: 42, numRuns: 200 },
  );
});

test("patch of one engine in a large inventory is small", (t) => {
  const before = accepted(1, testDocument(1, 1_800));
  const document = structuredClone(before.document);
  const engine = document.engines[900];
  if (engine) engine.port = 9;
  const patch = makePatch(before, accepted(2, document));
  t.true(JSON.stringify(patch).length < 1_000);
});

test("repeated change gets the same answer after a restore", async (t) => {
  const section = new ConfigurationSection();
  const command = {
    kind: "apply" as const,
    changeId: "1",
    operator: "test",
    expectedVersion: 0,
    document: configurationSchema.parse(testDocument(1)),
  };
  const at = { index: 1, term: 1, proposedAt: 1 };
  const first = section.apply(command, at);
  const restored = new ConfigurationSection();
  await restored.restore(await section.snapshot());
  const again = { index: 2, term: 2, proposedAt: 2 };
  t.deepEqual(restored.apply(command, again), first);
  t.is(restored.current?.version, 1);
});
