import test from "ava";
import { type ClusterNode, LogCluster } from "../../testing/log_cluster.ts";
import { VirtualClock } from "../../testing/virtual_clock.ts";
import {
  changeReplicasMethod,
  helloMethod,
  type ReplicaChange,
  voteMethod,
  type VoteParams,
} from "./messages.ts";

/** Requests a change of the members from the leader, as an operator does. */
function changeMembers(cluster: LogCluster, change: ReplicaChange) {
  const { leader, network } = cluster;
  if (!leader) throw new Error("no leader");
  const rpc = network.endpoints.get("operator") ??
    network.connect("operator", leader.clock);
  return rpc.call(leader.address, changeReplicasMethod, change, {
    deadline: leader.clock.deadlineIn(5_000),
  });
}

async function untilAllVote(cluster: LogCluster): Promise<void> {
  const { nodes, time } = cluster;
  const roles = () => nodes.map((node) => node.log.status().role);
  await time.advanceUntil("all vote", () => {
    const status = cluster.leader?.log.status();
    return status?.voters.length === nodes.length && !roles().includes(
      "learner",
    );
  });
}

test("three voters commit the same entries", async (t) => {
  const cluster = await LogCluster.start(3, 1);
  await cluster.commit(10);
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

test("single voter keeps its entries across a restart", async (t) => {
  const cluster = await LogCluster.start(1, 2);
  await cluster.commit(100);
  const [node] = cluster.nodes;
  node?.crash();
  await cluster.untilSettled(node?.start() ?? Promise.resolve());
  await cluster.untilLeader();
  await cluster.commit(1);
  t.deepEqual(cluster.findViolations(), []);
});

test("founders behind port translation create one log", async (t) => {
  for (let seed = 1; seed <= 5; seed++) {
    const cluster = new LogCluster(3, seed);
    cluster.usesTranslatedPorts = true;
    for (const node of cluster.nodes) void node.start();
    await cluster.untilLeader();
    await cluster.commit(5);
    await cluster.untilEqual();
    t.deepEqual(cluster.findViolations(), []);
  }
});

test("isolated leader steps down", async (t) => {
  const cluster = await LogCluster.start(3, 3);
  const old = await cluster.untilLeader();
  const { network, time } = cluster;
  network.isolated.add(old.address.id);
  t.false(await cluster.untilSettled(cluster.propose(old)));
  await time.advanceUntil("lease over", () => !old.hasLease && !old.isLeader);
  const deadline = old.clock.deadlineIn(300);
  t.true((await cluster.untilSettled(old.log.barrier({ deadline }))).isErr());
  await cluster.untilLeader();
  await cluster.commit(5);
  network.isolated.clear();
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

test("compacted log survives a restart of all voters", async (t) => {
  const cluster = await LogCluster.start(3, 4);
  await cluster.commit(300);
  for (const node of cluster.nodes) {
    const { firstIndex, lastIndex } = node.log.status();
    t.true(lastIndex - firstIndex < 60);
    t.true(node.disk.files.size < 8);
    node.crash();
  }
  for (const node of cluster.nodes) await cluster.untilSettled(node.start());
  await cluster.untilLeader();
  await cluster.commit(1);
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

test("follower that missed hundreds of commands gets a snapshot", async (t) => {
  const cluster = await LogCluster.start(3, 5);
  await cluster.commit(1);
  const [follower] = cluster.followers;
  follower?.crash();
  await cluster.commit(300);
  await cluster.untilSettled(follower?.start() ?? Promise.resolve());
  await cluster.untilEqual();
  t.true(follower?.hasEvent("snapshot-installed"));
  t.deepEqual(cluster.findViolations(), []);
});

test("log is not compacted while a section cannot be captured", async (t) => {
  const cluster = await LogCluster.start(3, 6);
  for (const { section } of cluster.nodes) section.isSnapshotFailing = true;
  await cluster.commit(100);
  t.true(cluster.nodes.every((node) => node.hasEvent("snapshot-failed")));
  t.is(cluster.leader?.log.status().firstIndex, 1);
  for (const node of cluster.nodes) node.crash();
  for (const node of cluster.nodes) await cluster.untilSettled(node.start());
  await cluster.untilLeader();
  await cluster.commit(1);
  t.deepEqual(
    cluster.findViolations([cluster.leader ?? cluster.nodes[0]!]),
    [],
  );
});

test("voter with a full disk leaves the quorum", async (t) => {
  const cluster = await LogCluster.start(3, 7);
  await cluster.commit(5);
  const full = await cluster.untilLeader();
  full.disk.freeBytes = 50;
  t.false(await cluster.untilSettled(cluster.propose(full)));
  t.true(full.hasEvent("replica-failed"));
  t.is(full.log.status().role, "stopped");
  await cluster.untilLeader();
  await cluster.commit(5);
  full.crash();
  full.disk.freeBytes = Number.POSITIVE_INFINITY;
  await cluster.untilSettled(full.start());
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

test("single voter recovers from a full disk", async (t) => {
  const cluster = await LogCluster.start(1, 8);
  await cluster.commit(5);
  const [node] = cluster.nodes;
  if (!node) return t.fail();
  node.disk.freeBytes = 50;
  t.false(await cluster.untilSettled(cluster.propose()));
  node.crash();
  node.disk.freeBytes = Number.POSITIVE_INFINITY;
  await cluster.untilSettled(node.start());
  await cluster.untilLeader();
  t.deepEqual(cluster.findViolations(), []);
});

test("voter with a failing disk acknowledges nothing", async (t) => {
  const cluster = await LogCluster.start(1, 22);
  await cluster.commit(5);
  const [node] = cluster.nodes;
  if (!node) return t.fail();
  node.disk.isFailing = true;
  t.false(await cluster.untilSettled(cluster.propose()));
  t.true(node.hasEvent("replica-failed"));
});

test("leader with slow syncs keeps leadership", async (t) => {
  const cluster = await LogCluster.start(3, 9);
  const leader = await cluster.untilLeader();
  const { term } = leader.log.leadership;
  leader.disk.syncMilliseconds = 700;
  await cluster.commit(20);
  t.is(leader.log.leadership.term, term);
  leader.crash();
  await cluster.untilLeader();
  await cluster.untilSettled(leader.start());
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

test("leader counts its entries only after its sync", async (t) => {
  const cluster = await LogCluster.start(3, 17);
  const leader = await cluster.untilLeader();
  const [away] = cluster.followers;
  cluster.network.isolated.add(away?.address.id ?? "");
  leader.disk.syncMilliseconds = 3_000;
  t.false(await cluster.untilSettled(cluster.propose(leader)));
  await cluster.time.advance(4_000);
  t.true(leader.hasEvent("sync-slow"));
  cluster.network.isolated.clear();
  leader.disk.syncMilliseconds = 1;
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

/** Requests a vote as a candidate whose log is far ahead. */
async function requestVote(
  cluster: LogCluster,
  voter: ClusterNode,
  options: Partial<VoteParams> = {},
): Promise<boolean> {
  const clock = new VirtualClock(cluster.time);
  const rpc = cluster.network.connect("candidate", clock);
  const deadline = clock.deadlineIn(1_000);
  const hello = rpc.call(voter.address, helloMethod, {}, { deadline });
  const known = (await cluster.untilSettled(hello))._unsafeUnwrap();
  const params = {
    cluster: known.cluster ?? "",
    to: known.storage,
    from: "candidate",
    term: 100,
    preVote: false,
    transfer: true,
    lastIndex: 1_000,
    lastTerm: 100,
    ...options,
  };
  const vote = rpc.call(voter.address, voteMethod, params, { deadline });
  const answer = await cluster.untilSettled(vote);
  return answer.isOk() && answer.value.granted;
}

test("vote request for another data folder is rejected", async (t) => {
  const cluster = await LogCluster.start(3, 18);
  const voter = cluster.followers[0]!;
  t.false(await requestVote(cluster, voter, { to: "lost-folder" }));
  t.true(await requestVote(cluster, voter));
});

test("no vote while the leader is in contact", async (t) => {
  const cluster = await LogCluster.start(3, 19);
  const voter = cluster.followers[0]!;
  const { term } = voter.log.leadership;
  t.false(await requestVote(cluster, voter, { transfer: false }));
  t.is(voter.log.leadership.term, term);
});

test("vote is kept across a restart", async (t) => {
  const cluster = await LogCluster.start(3, 20);
  const voter = cluster.followers[0]!;
  t.true(await requestVote(cluster, voter));
  voter.crash();
  await cluster.untilSettled(voter.start());
  t.false(await requestVote(cluster, voter, { from: "another" }));
  t.true(await requestVote(cluster, voter));
});

test("leases never overlap", async (t) => {
  for (let seed = 30; seed < 40; seed++) {
    const cluster = await LogCluster.start(3, seed);
    const old = await cluster.untilLeader();
    cluster.network.isolated.add(old.address.id);
    let maximumHolders = 0;
    await cluster.time.advance(600, () => {
      const holders = cluster.nodes.filter((node) => node.hasLease);
      maximumHolders = Math.max(maximumHolders, holders.length);
    });
    t.is(maximumHolders, 1, `seed ${seed}`);
  }
});

test("barrier without a lease needs a quorum", async (t) => {
  const cluster = await LogCluster.start(3, 21);
  await cluster.commit(1);
  const old = await cluster.untilLeader();
  cluster.network.isolated.add(old.address.id);
  while (old.hasLease) await cluster.time.advance(1);
  t.true(old.isLeader);
  const deadline = old.clock.deadlineIn(300);
  t.true((await cluster.untilSettled(old.log.barrier({ deadline }))).isErr());
});

test("voter that lost its disk rejoins as a learner", async (t) => {
  const cluster = await LogCluster.start(3, 10);
  await cluster.commit(100);
  const [node] = cluster.followers;
  if (!node) return t.fail();
  const storageOf = () =>
    cluster.leader?.log.status().voters.find(({ id }) =>
      id === node.address.id
    );
  const before = storageOf();
  node.crash();
  node.wipeDisk();
  await cluster.untilSettled(node.start());
  t.is(node.log.status().role, "learner");
  await untilAllVote(cluster);
  t.notDeepEqual(storageOf(), before);
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

test("log survives when two voters lose their disks in turn", async (t) => {
  const cluster = await LogCluster.start(3, 11);
  await cluster.commit(50);
  for (const node of [...cluster.nodes].slice(0, 2)) {
    node.crash();
    node.wipeDisk();
    await cluster.untilSettled(node.start());
    await cluster.untilLeader();
    await untilAllVote(cluster);
    await cluster.commit(5);
  }
  cluster.nodes[2]?.crash();
  await cluster.untilLeader();
  await cluster.commit(5);
  t.deepEqual(
    cluster.findViolations([cluster.leader ?? cluster.nodes[0]!]),
    [],
  );
});

test("two empty data folders do not create a second log", async (t) => {
  const cluster = await LogCluster.start(3, 12);
  await cluster.commit(5);
  const lost = cluster.followers;
  for (const node of lost) {
    node.crash();
    node.wipeDisk();
  }
  for (const node of lost) await cluster.untilSettled(node.start());
  await cluster.time.advance(10_000);
  t.true(lost.every((node) => node.log.status().role === "learner"));
  t.false(lost.some((node) => node.isLeader));
});

test("data folder of another instance is rejected", async (t) => {
  const cluster = await LogCluster.start(3, 13);
  const [first, second] = cluster.nodes;
  if (!first || !second) return t.fail();
  first.crash();
  second.crash();
  first.disk.files = second.disk.files;
  await cluster.untilSettled(first.start());
  t.is(first.log.status().role, "stopped");
  t.true(first.hasEvent("replica-failed"));
});

test("members can be added, promoted and removed", async (t) => {
  const cluster = await LogCluster.start(3, 14);
  await cluster.commit(100);
  const address = { ...cluster.founders[0]!, id: "node-3", port: 3 };
  const node = cluster.add(address);
  await cluster.untilSettled(node.start("join"));
  const learners = () => cluster.leader?.log.status().learners.length;
  await cluster.time.advanceUntil("learner", () => learners() === 1);
  const voter = { id: "node-3" };
  let promoted = false;
  while (!promoted) {
    const answer = changeMembers(cluster, { action: "promote", voter });
    promoted = (await cluster.untilSettled(answer)).isOk();
  }
  const [removed] = cluster.followers;
  const leave = { id: removed?.address.id ?? "" };
  const answer = changeMembers(cluster, { action: "remove", voter: leave });
  t.true((await cluster.untilSettled(answer)).isOk());
  await cluster.commit(5);
  const others = cluster.nodes.filter((it) => it !== removed);
  await cluster.untilEqual(others);
  t.deepEqual(cluster.findViolations(others), []);
  t.is(cluster.leader?.log.status().voters.length, 3);
});

test("one of several concurrent member changes is accepted", async (t) => {
  const cluster = await LogCluster.start(5, 15);
  await cluster.commit(5);
  const answers = cluster.followers.map(({ address: { id } }) =>
    changeMembers(cluster, { action: "remove", voter: { id } })
  );
  const results = await cluster.untilSettled(Promise.all(answers));
  t.is(results.filter((result) => result.isOk()).length, 1);
  t.is(cluster.leader?.log.status().voters.length, 4);
});

test("leadership moves to the requested voter", async (t) => {
  const cluster = await LogCluster.start(3, 16);
  await cluster.commit(5);
  const old = await cluster.untilLeader();
  const [target] = cluster.followers;
  const voter = { id: target?.address.id ?? "" };
  const startedAt = cluster.time.now;
  const answer = changeMembers(cluster, { action: "transfer", voter });
  t.true((await cluster.untilSettled(answer)).isOk());
  await cluster.time.advanceUntil(
    "target leads",
    () => target?.isLeader ?? false,
  );
  t.true(cluster.time.now - startedAt < 150);
  t.false(old.isLeader);
  await cluster.commit(5);
  await cluster.untilSettled(target?.log.stop() ?? Promise.resolve());
  t.not(cluster.leader, target);
});

// Guards against a voter that exits at each start while no log line says that
// the other voters can restore it (review/6).
test("replica with damaged files says how it is restored", async (t) => {
  const cluster = await LogCluster.start(3, 61);
  await cluster.commit(5);
  const [damaged] = cluster.followers;
  if (!damaged) return t.fail("no follower");
  damaged.crash();
  const segment = damaged.disk.files.get("log/000000000001.wal");
  if (!segment) return t.fail("no segment");
  segment.bytes[20] = (segment.bytes[20] ?? 0) ^ 1;
  await cluster.untilSettled(damaged.start());
  const line = damaged.events.find((it) => it.startsWith("replica-failed"));
  t.regex(line ?? "", /invalid frame.*empty the data folder/);
  t.is(damaged.log.status().role, "stopped");
  damaged.crash();
  damaged.wipeDisk();
  await cluster.untilSettled(damaged.start("join"));
  await cluster.commit(1);
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

// Guards against a leader that confirms an older state as the newest while it
// captures a snapshot and followers already acknowledge (late-routes).
test("leader that applies nothing does not confirm its state", async (t) => {
  const cluster = await LogCluster.start(3, 62);
  const leader = await cluster.untilLeader();
  let openGate = () => {};
  leader.section.snapshotGate = new Promise((resolve) => openGate = resolve);
  const [follower] = cluster.followers;
  const applied = (node?: ClusterNode) => node?.log.status().appliedIndex ?? 0;
  await cluster.time.advanceUntil("the leader captures a snapshot", () => {
    void cluster.propose(leader);
    return applied(follower) > applied(leader) + 1;
  });
  const behindAt = leader.clock.monotonic();
  await cluster.time.advance(1_000);
  t.true(leader.isLeader);
  t.true(applied(follower) > applied(leader));
  t.true((leader.log.stateConfirmedAt ?? Infinity) <= behindAt);
  openGate();
  await cluster.time.advanceUntil(
    "the leader confirms its state again",
    () => (leader.log.stateConfirmedAt ?? 0) > behindAt,
  );
  t.true(applied(leader) >= applied(follower));
});
