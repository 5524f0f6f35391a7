import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { type ClusterNode, LogCluster } from "../../testing/log_cluster.ts";
import { type Failure, notRun } from "../common/mod.ts";
import { appendMethod, type AppendParams } from "./messages.ts";

/** Length of a command of which three exceed one message. */
const COMMAND_CHARACTERS = 400_000;

/** Duration of a sync that outlasts the deadline of an append. */
const SLOW_SYNC_MILLISECONDS = 1_500;

/** Longest time for a stop. */
const STOP_LIMIT_MILLISECONDS = 3_000;

/** Three voters whose log is longer than one message. */
async function startWithLongLog(seed: number): Promise<LogCluster> {
  const cluster = await LogCluster.start(3, seed, { bytes: 100_000_000 });
  cluster.padding = "x".repeat(COMMAND_CHARACTERS);
  await cluster.commit(8);
  await cluster.untilEqual();
  return cluster;
}

function someFollower(cluster: LogCluster): ClusterNode {
  const [follower] = cluster.followers;
  if (!follower) throw new Error("no follower");
  return follower;
}

// The leader's replica failed when a voter stopped while an append waited
// behind a slow write there, and had started again (review/7).
test("voter that stops behind a slow write leaves the leader", async (t) => {
  for (const stopAfterMilliseconds of [1_100, 1_200, 1_300, 1_400]) {
    const cluster = await startWithLongLog(71);
    const { time } = cluster;
    const leader = await cluster.untilLeader();
    const follower = someFollower(cluster);
    follower.disk.syncMilliseconds = SLOW_SYNC_MILLISECONDS;
    await cluster.commit(1);
    // The leader sends the entries again, and these wait behind the write.
    await time.advance(stopAfterMilliseconds);
    const stopped = follower.log.stop();
    await cluster.untilSettled(stopped);
    await time.advance(100);
    follower.crash();
    follower.disk.syncMilliseconds = 1;
    await cluster.untilSettled(follower.start());
    await cluster.commit(1);
    await cluster.untilEqual();
    t.false(leader.hasEvent("replica-failed"));
    t.false(leader.hasEvent("peer-entries-lost"));
    t.is(cluster.leader, leader);
    t.deepEqual(cluster.findViolations(), []);
  }
});

/** Answers every append in place of a node's replica, and counts them. */
function answerAppends(
  cluster: LogCluster,
  node: ClusterNode,
  answer: (
    params: AppendParams,
  ) => Result<{ term: number; accepted: boolean; index: number }, Failure>,
): { count: number } {
  const calls = { count: 0 };
  const endpoint = cluster.network.endpoints.get(node.address.id);
  endpoint?.handle(appendMethod, (params) => {
    if (params.entries.length > 0) calls.count += 1;
    return Promise.resolve(answer(params));
  });
  return calls;
}

// No answer of a voter ends the process of a sound leader.
test("senseless answers of a voter leave the leader", async (t) => {
  const answers = [
    { accepted: false, index: 0 },
    { accepted: false, index: 1 },
    { accepted: false, index: 1_000_000 },
    { accepted: false, index: -5 },
    { accepted: false, index: 0.5 },
    { accepted: true, index: 0 },
    { accepted: true, index: 1_000_000 },
  ];
  for (const answer of answers) {
    const cluster = await startWithLongLog(74);
    const leader = await cluster.untilLeader();
    const follower = someFollower(cluster);
    const calls = answerAppends(
      cluster,
      follower,
      ({ term }) => ok({ term, ...answer }),
    );
    await cluster.commit(3);
    await cluster.time.advance(1_000);
    t.false(leader.hasEvent("replica-failed"));
    t.true(calls.count < 100, `${calls.count} appends in a second`);
    follower.crash();
    await cluster.untilSettled(follower.start());
    await cluster.commit(1);
    await cluster.untilEqual();
    t.deepEqual(cluster.findViolations(), []);
  }
});

test("entries that a voter had confirmed and lost are sent again", async (t) => {
  const cluster = await startWithLongLog(75);
  const leader = await cluster.untilLeader();
  const follower = someFollower(cluster);
  follower.crash();
  const segment = follower.disk.files.get("log/000000000001.wal");
  if (!segment) return t.fail("no segment");
  const end = segment.bytes.length - COMMAND_CHARACTERS / 2;
  segment.bytes = segment.bytes.subarray(0, end);
  await cluster.untilSettled(follower.start());
  await cluster.time.advance(200);
  t.not(follower.log.status().role, "stopped");
  await cluster.commit(1);
  await cluster.untilEqual();
  t.true(leader.hasEvent("peer-entries-lost"));
  t.deepEqual(cluster.findViolations(), []);
});

test("failed appends are repeated", async (t) => {
  const cluster = await startWithLongLog(76);
  const follower = someFollower(cluster);
  const calls = answerAppends(
    cluster,
    follower,
    () => err(notRun("storage-error", "the replica is stopped")),
  );
  await cluster.commit(1);
  await cluster.time.advance(500);
  t.true(calls.count > 1);
});

// A replica that stopped between the last chunk of a snapshot and its
// installation never ended.
test("voter stops while it receives a snapshot", async (t) => {
  const cluster = await LogCluster.start(3, 77);
  const follower = someFollower(cluster);
  for (let delay = 0; delay < 30; delay += 2) {
    follower.crash();
    await cluster.commit(50);
    await cluster.untilSettled(follower.start());
    await cluster.time.advance(delay);
    let isStopped = false;
    void follower.log.stop().then(() => isStopped = true);
    await cluster.time.advance(STOP_LIMIT_MILLISECONDS);
    t.true(isStopped, `stopped ${delay} ms after its start`);
  }
});
