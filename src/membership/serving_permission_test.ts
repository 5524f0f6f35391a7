import test, { type ExecutionContext } from "ava";
import { SystemClock } from "../common/mod.ts";
import type { PeerAddress } from "../rpc/mod.ts";
import {
  applyDocument,
  ControlLeader,
  ControlMember,
  testDocument,
} from "../../testing/control_fixtures.ts";
import { eventually } from "../../testing/eventually.ts";
import { Relay } from "../../testing/relay.ts";

const clock = new SystemClock();

/** Time after which an unrenewed permission has expired. */
const PERMISSION_EXPIRED_MILLISECONDS = 9_000;

async function fleet(t: ExecutionContext) {
  const leader = new ControlLeader();
  const address = await leader.listen();
  // The first member reaches the leader through a relay of its own.
  const relay = new Relay(address.port);
  const through: PeerAddress = { ...address, port: await relay.listen() };
  const members = await Promise.all(
    [0, 1, 2, 3].map((index) =>
      ControlMember.start({
        id: `member-${index}`,
        voters: () => [index === 0 ? through : address],
      })
    ),
  );
  t.teardown(() => {
    for (const { store } of [leader, ...members]) store.dispose();
    relay.dispose();
  });
  const [first, second] = members as [ControlMember, ControlMember];
  const options = { changeId: "1", version: 0, document: testDocument(1) };
  await applyDocument(second, options);
  await eventually(
    "all instances serve",
    () =>
      members.every(({ holder, permission, heartbeat }) =>
        permission.mayServe && holder.current?.version === 1 &&
        heartbeat.members.length === 4
      ),
  );
  const others = members.slice(1);
  return { leader, address, relay, members, first, second, others };
}

function wait(milliseconds: number): Promise<void> {
  return clock.sleepUntil(clock.deadlineIn(milliseconds));
}

test("isolated instance stops serving", async (t) => {
  const { relay, first, second, others } = await fleet(t);
  relay.isolate();
  for (const other of others) other.relay.isolate();
  await eventually(
    "isolated instance refuses callers",
    () => !first.permission.mayServe,
  );
  t.regex(first.permission.reason, /^cut off/);
  t.true(others.every(({ permission }) => permission.mayServe));
  const document = testDocument(2);
  await applyDocument(second, { changeId: "2", version: 1, document });
  t.is(first.holder.current?.version, 1);
  relay.heal();
  for (const other of others) other.relay.heal();
  await eventually("instance serves again", () => first.permission.mayServe);
  t.is(first.holder.current?.version, 2);
});

test("instance isolated from the leader fetches from peers", async (t) => {
  const { relay, first, second } = await fleet(t);
  relay.isolate();
  const document = testDocument(2);
  await applyDocument(second, { changeId: "2", version: 1, document });
  await eventually(
    "change fetched from a peer",
    () => first.holder.current?.version === 2,
  );
  await wait(PERMISSION_EXPIRED_MILLISECONDS);
  t.true(first.permission.mayServe);
  t.false(first.heartbeat.isConnected);
});

test("fleet without a quorum continues serving", async (t) => {
  const { leader, address, members } = await fleet(t);
  leader.store.dispose();
  const voters = () => [address];
  const restarted = await ControlMember.start({ id: "member-4", voters });
  await wait(PERMISSION_EXPIRED_MILLISECONDS);
  t.true(members.every(({ permission }) => permission.mayServe));
  t.false(restarted.permission.mayServe);
  t.is(restarted.permission.reason, "no configuration is in force yet");
  restarted.store.dispose();
});

test("change is refused without a majority of the fleet", async (t) => {
  const { leader, second, others } = await fleet(t);
  for (const other of others.slice(1)) other.store.dispose();
  await eventually(
    "majority of the fleet lost",
    () => !leader.registry.hasLiveMajority,
  );
  const document = testDocument(2);
  const changing = applyDocument(second, {
    changeId: "2",
    version: 1,
    document,
  });
  await t.throwsAsync(changing, { message: /no more than half/ });
  const again = { changeId: "1", version: 0, document: testDocument(1) };
  t.is((await applyDocument(second, again)).kind, "accepted");
});

test("process that was paused does not serve when it resumes", async (t) => {
  let skipped = 0;
  const jumping = Object.create(clock, {
    isPast: {
      value: (at: number) => performance.now() + skipped >= at,
    },
  });
  const leader = new ControlLeader();
  const address = await leader.listen();
  const member = await ControlMember.start({
    id: "member-0",
    voters: () => [address],
    clock: jumping,
  });
  t.teardown(() => {
    member.store.dispose();
    leader.store.dispose();
  });
  await eventually("instance serves", () => member.permission.mayServe);
  skipped = 60_000;
  t.false(member.permission.mayServe);
});
