import test from "ava";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import {
  ControlLeader,
  ControlMember,
} from "../../testing/control_fixtures.ts";
import { eventually } from "../../testing/eventually.ts";
import { PlatformStandin } from "../../testing/platform_standin.ts";
import { HttpPlatformAdapter } from "./http_platform_adapter.ts";
import { LeavingTargetTracker } from "./leaving_target_tracker.ts";
import { applyMemberChanges, MemberList } from "./member_list.ts";
import type { Member } from "./messages.ts";
import { TargetAvailability } from "./target_availability.ts";

const clock = new SystemClock();

async function poll(platform: PlatformStandin): Promise<HttpPlatformAdapter> {
  const port = await platform.listen();
  const address = { address: "127.0.0.1", port };
  const events = new SilentEventLog();
  const adapter = new HttpPlatformAdapter(address, clock, { events });
  adapter.start();
  return adapter;
}

test("target leaves although the list of one instance is stale", async (t) => {
  const current = new PlatformStandin();
  const stale = new PlatformStandin();
  const live = [{ id: "engine-0", state: "live" as const }];
  for (const platform of [current, stale]) platform.set(live);
  const leader = new ControlLeader();
  const address = await leader.listen();
  const members = await Promise.all(
    [current, stale].map(async (platform, at) => {
      const adapter = await poll(platform);
      const member = await ControlMember.start({
        id: `member-${at}`,
        voters: () => [address],
        platform: adapter,
      });
      const availability = new TargetAvailability(adapter, member.heartbeat);
      member.store.add(adapter);
      return { member, availability };
    }),
  );
  t.teardown(() => {
    for (const { member } of members) member.store.dispose();
    leader.store.dispose();
    for (const platform of [current, stale]) platform.stop();
  });
  const everywhere = (state: string) => () =>
    members.every(({ availability }) =>
      availability.stateOf("engine-0") === state
    );
  await eventually("live everywhere", everywhere("live"));
  stale.isFrozen = true;
  current.set([{ id: "engine-0", state: "leaving" }]);
  await eventually("leaving everywhere", everywhere("leaving"));
  current.set(live);
  await eventually("live again", everywhere("live"));
  t.pass();
});

test("new leader keeps members and leaving targets", async (t) => {
  const first = new ControlLeader();
  const address = await first.listen();
  let voter = address;
  const platform = new PlatformStandin();
  platform.set([{ id: "engine-0", state: "leaving" }]);
  const adapter = await poll(platform);
  const voters = () => [voter];
  const member = await ControlMember.start({
    id: "member-0",
    voters,
    platform: adapter,
  });
  const other = await ControlMember.start({ id: "member-1", voters });
  t.teardown(() => {
    for (const { store } of [member, other, first, second]) store.dispose();
    adapter.dispose();
    platform.stop();
  });
  await eventually(
    "both know both members",
    () =>
      [member, other].every(({ heartbeat }) =>
        heartbeat.members.length === 2 && heartbeat.leavingTargets.size === 1
      ),
  );
  const sizes: number[] = [];
  other.heartbeat.onChange((members) => sizes.push(members.length));
  other.heartbeat.onLeavingTargetsChange((targets) => sizes.push(targets.size));
  const second = new ControlLeader(() => other.heartbeat);
  voter = { ...await second.listen(), id: "voter-1" };
  member.store.dispose();
  second.log.setLeadership(2, true);
  first.log.setLeadership(2, false);
  await eventually(
    "second leader received a heartbeat",
    () => second.registry.members.some(({ health }) => health === "live"),
  );
  await eventually("second leader answered", () => sizes.length >= 2);
  t.deepEqual([...new Set(sizes)].sort(), [1, 2]);
  t.is(sizes.at(-1), 1);
  t.is(second.registry.members.length, 2);
  t.false(second.registry.hasLiveMajority);
});

test("new leader counts lost members towards the majority", async (t) => {
  const members = ["a", "b", "c", "d"].map((id): Member => ({
    id,
    address: "127.0.0.1",
    port: 1,
    region: "test",
    failureDomain: "domain-0",
    state: "serving",
    incarnation: "1",
    configurationVersion: 1,
    health: "lost",
  }));
  const leavingTargets = new Set<string>();
  const leader = new ControlLeader(() => ({ members, leavingTargets }));
  const address = await leader.listen();
  leader.log.setLeadership(2, true);
  const voters = () => [address];
  const liveMembers = await Promise.all(
    ["e", "f"].map((id) => ControlMember.start({ id, voters })),
  );
  await eventually(
    "both heartbeats received",
    () =>
      leader.registry.members.filter(({ health }) => health === "live")
        .length === 2,
  );
  t.is(leader.registry.members.length, 6);
  t.false(leader.registry.hasLiveMajority);
  for (const { store } of [leader, ...liveMembers]) store.dispose();
});

test("target that a minority reports as leaving gets work again", (t) => {
  let now = 0;
  const fake = Object.create(clock, { monotonic: { value: () => now } });
  const leaving = new LeavingTargetTracker(fake);
  leaving.recordReport("member-0", { leaving: ["engine-0", "engine-1"] });
  leaving.recordReport("member-1", { leaving: ["engine-1"] });
  leaving.recordReport("member-2", { leaving: [] });
  t.deepEqual(leaving.targets, ["engine-0", "engine-1"]);
  now = 119_000;
  t.deepEqual(leaving.excludeDoubtedTargets(), []);
  now = 121_000;
  t.deepEqual(leaving.excludeDoubtedTargets(), [{
    target: "engine-0",
    reporters: 1,
  }]);
  t.deepEqual(leaving.targets, ["engine-1"]);
  leaving.recordReport("member-2", { leaving: ["engine-0"] });
  leaving.excludeDoubtedTargets();
  t.deepEqual(leaving.targets, ["engine-0", "engine-1"]);
});

test("changes since a revision reproduce the member list", (t) => {
  const member = (id: string, health: Member["health"]): Member => ({
    id,
    address: "127.0.0.1",
    port: 1,
    region: "test",
    failureDomain: "domain-0",
    state: "serving",
    incarnation: "1",
    configurationVersion: 0,
    health,
  });
  const list = new MemberList();
  let copy: readonly Member[] = [];
  let revision = 0;
  const synchronize = () => {
    const changes = list.changesSince(revision);
    if (changes) copy = applyMemberChanges(copy, changes);
    revision = list.revision;
    return changes;
  };
  list.put(member("a", "live"));
  list.put(member("b", "live"));
  t.true(synchronize()?.whole);
  list.put(member("a", "suspect"));
  list.put(member("c", "live"));
  list.remove("b");
  t.deepEqual(synchronize()?.put.map(({ id }) => id), ["a", "c"]);
  t.deepEqual([...copy], [...list.members]);
  list.put({ ...member("c", "live"), configurationVersion: 7 });
  t.is(synchronize(), undefined);
  list.remove("c");
  list.put(member("c", "live"));
  t.deepEqual(synchronize()?.removed, []);
  t.deepEqual([...copy].map(({ id }) => id).sort(), ["a", "c"]);
});
