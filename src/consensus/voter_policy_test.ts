import test from "ava";
import { type ClusterNode, LogCluster } from "../../testing/log_cluster.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import { ControlClient } from "./control_client.ts";
import { joinMethod, proposeMethod, statusMethod } from "./messages.ts";
import type { ReplicaMember } from "./replica_set.ts";
import { type IReplicaSetView, nextVoterChange } from "./voter_policy.ts";

function member(id: string): ReplicaMember {
  return {
    id,
    address: "127.0.0.1",
    port: 1,
    failureDomain: "",
    storage: id,
    promote: false,
  };
}

const VOTERS = ["a", "b", "c"].map(member);

function step(
  replicas: { voters: ReplicaMember[]; learners: ReplicaMember[] },
  changes: {
    lost?: string[];
    retiring?: string[];
    stopping?: string[];
    behind?: string[];
  } = {},
  targetVoters = 3,
): string | undefined {
  const { lost = [], retiring = [], stopping = [], behind = [] } = changes;
  const view: IReplicaSetView = {
    targetVoters,
    leader: "a",
    isRetiring: ({ id }) => retiring.includes(id),
    isStopping: ({ id }) => stopping.includes(id),
    isSilent: ({ id }) => lost.includes(id),
    isLost: ({ id }) => lost.includes(id),
    isCaughtUp: ({ id }) => !behind.includes(id),
  };
  const next = nextVoterChange(replicas, view);
  return next && `${next.action} ${next.member.id}`;
}

test("no change while there are enough voters", (t) => {
  t.is(step({ voters: VOTERS, learners: [] }), undefined);
  t.is(step({ voters: VOTERS, learners: [member("d")] }), undefined);
});

test("lost voter stays while it has no replacement", (t) => {
  t.is(step({ voters: VOTERS, learners: [] }, { lost: ["c"] }), undefined);
  const replicas = { voters: VOTERS, learners: [member("d")] };
  t.is(step(replicas, { lost: ["c"], behind: ["d"] }), undefined);
});

test("lost voter is demoted after its replacement is promoted", (t) => {
  const replicas = { voters: VOTERS, learners: [member("d")] };
  t.is(step(replicas, { lost: ["c"] }), "promote d");
  const more = { voters: [...VOTERS, member("d")], learners: [] };
  t.is(step(more, { lost: ["c"] }), "demote c");
  const rest = { voters: [VOTERS[0]!, VOTERS[1]!, member("d")] };
  const demoted = { ...rest, learners: [member("c")] };
  t.is(step(demoted, { lost: ["c"] }), "remove c");
});

test("retiring leader transfers leadership", (t) => {
  const more = { voters: [...VOTERS, member("d")], learners: [] };
  t.is(step(more, { retiring: ["b"] }), "remove b");
  t.is(step(more, { retiring: ["a"] }), "hand-over a");
});

test("lost learner is removed", (t) => {
  const replicas = { voters: VOTERS, learners: [member("d")] };
  t.is(step(replicas, { lost: ["d"] }), "remove d");
});

test("stopping voter is demoted after its replacement is promoted", (t) => {
  const replicas = { voters: VOTERS, learners: [member("d")] };
  t.is(step(replicas, { stopping: ["b"] }), "promote d");
  const more = { voters: [...VOTERS, member("d")], learners: [] };
  t.is(step(more, { stopping: ["b"] }), "demote b");
  t.is(step(more, { stopping: ["b"], lost: ["c"] }), "demote c");
});

// Four voters would need three votes, of which only two could be given.
test("no voter is added without a quorum of the others", (t) => {
  const replicas = { voters: VOTERS, learners: [member("d")] };
  t.is(step(replicas, { lost: ["b", "c"] }), undefined);
  const five = [...VOTERS, member("e"), member("f")];
  const more = { voters: five, learners: [member("d")] };
  t.is(step(more, { lost: ["b", "c", "e"] }, 5), undefined);
  t.is(step(more, { lost: ["b", "c"] }, 5), "promote d");
});

test("stopping learner neither votes nor is removed", (t) => {
  const replicas = { voters: VOTERS, learners: [member("d")] };
  t.is(step(replicas, { lost: ["c"], stopping: ["d"] }), undefined);
});

test("replacement is taken from a failure domain with few voters", (t) => {
  const inDomain = (id: string, failureDomain: string) => ({
    ...member(id),
    failureDomain,
  });
  const voters = [inDomain("a", "x"), inDomain("b", "y"), inDomain("c", "z")];
  const learners = [inDomain("d", "x"), inDomain("e", "z")];
  t.is(step({ voters, learners }, { lost: ["c"] }), "promote e");
});

test("surplus voter is demoted, never the leader", (t) => {
  const voters = [member("b"), member("c"), member("d"), member("a")];
  t.is(step({ voters, learners: [] }), "demote d");
});

/** Time without contact after which members stop naming a leader, in ms. */
const SILENCE_MILLISECONDS = 400;

function voters(cluster: LogCluster): string[] {
  const status = cluster.leader?.log.status();
  return status?.voters.map(({ id }) => id).sort() ?? [];
}

test("lost voter is replaced automatically", async (t) => {
  const { cluster, spare } = await LogCluster.startWithSpare(31);
  const [gone] = cluster.followers.filter((node) => node !== spare);
  gone?.crash();
  await cluster.time.advanceUntil(
    "replaced",
    () => voters(cluster).includes("node-3") && voters(cluster).length === 3,
  );
  await cluster.commit(5);
  const others = cluster.nodes.filter((node) => node !== gone);
  await cluster.untilEqual(others);
  t.deepEqual(cluster.findViolations(others), []);
});

test("learner that never answers is removed after a delay", async (t) => {
  const cluster = new LogCluster(3, 35);
  cluster.voterPolicy = { targetVoters: 3, isRetiring: () => false };
  for (const node of cluster.nodes) void node.start();
  const leader = await cluster.untilLeader();
  await cluster.time.advance(2_000);
  const rpc = cluster.network.connect("operator", leader.clock);
  const joined = rpc.call(leader.address, joinMethod, {
    member: { ...member("node-9"), port: 9 },
  }, { deadline: leader.clock.deadlineIn(1_000) });
  t.true((await cluster.untilSettled(joined)).isOk());
  const learners = () => leader.log.status().learners.length;
  await cluster.time.advance(300);
  t.is(learners(), 1);
  await cluster.time.advanceUntil("removed", () => learners() === 0, 3_000);
});

test("voter removed while it was down rejoins as a learner", async (t) => {
  const { cluster, spare } = await LogCluster.startWithSpare(32);
  const [away] = cluster.followers.filter((node) => node !== spare);
  away?.crash();
  await cluster.time.advanceUntil(
    "replaced",
    () => voters(cluster).length === 3 && voters(cluster).includes("node-3"),
  );
  await cluster.commit(5);
  await cluster.time.advanceUntil(
    "removed",
    () => cluster.leader?.log.status().learners.length === 0,
  );
  void away?.start();
  const { id } = away!.address;
  await cluster.time.advanceUntil("learner again", () => {
    const learners = cluster.leader?.log.status().learners ?? [];
    return learners.some((it) => it.id === id);
  });
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
  t.true(away?.hasEvent("joined-again"));
});

test("retiring voter is removed and not added again", async (t) => {
  const retiring = new Set<string>();
  const { cluster } = await LogCluster.startWithSpare(33, retiring);
  const old = await cluster.untilLeader();
  retiring.add(old.address.id);
  await cluster.time.advanceUntil(
    "another three vote",
    () =>
      cluster.leader !== old && voters(cluster).length === 3 &&
      !voters(cluster).includes(old.address.id),
  );
  await cluster.time.advance(5_000);
  const status = cluster.leader?.log.status();
  t.false(status?.learners.some(({ id }) => id === old.address.id));
});

test("barrier that requires a quorum does not trust the lease", async (t) => {
  const cluster = await LogCluster.start(3, 34);
  await cluster.commit(5);
  const old = await cluster.untilLeader();
  // The leader is isolated, but its clock has not advanced past the lease.
  cluster.network.isolated.add(old.address.id);
  t.true(old.hasLease);
  const deadline = old.clock.deadlineIn(50);
  t.true((await cluster.untilSettled(old.log.barrier({ deadline }))).isOk());
  const confirmed = old.log.barrier({ deadline, requiresQuorum: true });
  t.true((await cluster.untilSettled(confirmed)).isErr());
});

test("leader is found after founders are replaced and wiped", async (t) => {
  const cluster = new LogCluster(3, 36);
  cluster.voterPolicy = { targetVoters: 3, isRetiring: () => false };
  for (const node of cluster.nodes) void node.start();
  await cluster.untilLeader();
  const founders = [...cluster.nodes];
  for (let index = 3; index < 6; index++) {
    const spare = cluster.add({
      ...cluster.founders[0]!,
      ...{ id: `node-${index}`, port: index },
    });
    await cluster.untilSettled(spare.start("join"));
  }
  // The founders are stopped and replaced one after the other.
  for (const founder of founders) {
    await cluster.commit(1);
    founder.crash();
    await cluster.time.advanceUntil(
      "replaced",
      () =>
        voters(cluster).length === 3 &&
        !voters(cluster).includes(founder.address.id),
    );
  }
  const left = cluster.nodes.filter((node) => !founders.includes(node));
  for (const node of left) node.crash();
  for (const founder of founders) founder.wipeDisk();
  for (const node of left) void node.start();
  for (const founder of founders) void founder.start("join");
  const leader = await cluster.untilLeader();
  const clock = new VirtualClock(cluster.time);
  const rpc = cluster.network.connect("client", clock);
  const client = new ControlClient(() => cluster.founders, rpc, { clock });
  const answer = await cluster.untilSettled(client.call(proposeMethod, {
    section: "register",
    command: { id: "late" },
  }, { deadline: clock.deadlineIn(5_000) }));
  t.true(answer.isOk());
  t.true(left.includes(leader));
  await cluster.time.advanceUntil(
    "the founders are members again",
    () => leader.log.status().learners.length === founders.length,
  );
});

test("member names no leader with which it has lost contact", async (t) => {
  const { cluster, spare } = await LogCluster.startWithSpare(37);
  await cluster.time.advance(3_000);
  const old = await cluster.untilLeader();
  const asked = cluster.network.connect(
    "client",
    new VirtualClock(cluster.time),
  );
  const namedBy = async (node: ClusterNode) => {
    const deadline = node.clock.deadlineIn(1_000);
    const answer = await cluster.untilSettled(
      asked.call(node.address, statusMethod, {}, { deadline }),
    );
    return answer.unwrapOr(undefined)?.leader;
  };
  t.is(await namedBy(spare), old.address.id);
  // Without a quorum, no other replica can become leader.
  const [other] = cluster.followers.filter((node) => node !== spare);
  other?.crash();
  old.crash();
  const left = cluster.followers;
  await cluster.time.advance(SILENCE_MILLISECONDS);
  for (const node of left) t.is(await namedBy(node), undefined);
});
