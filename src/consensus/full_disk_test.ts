import test from "ava";
import { type ClusterNode, LogCluster } from "../../testing/log_cluster.ts";

/** Time for which a disk is full, in virtual milliseconds. */
const FULL_MILLISECONDS = 2_000;

/** Waits until a replica takes part again after a failure of its disk. */
async function untilReopened(
  cluster: LogCluster,
  node: ClusterNode,
  count: number,
): Promise<void> {
  const isReopened = () =>
    node.events.filter((it) => it.startsWith("replica-reopened")).length >=
      count;
  await cluster.time.advanceUntil("replica is reopened", isReopened);
}

// Guards against changes that are refused long after the disks of all voters
// were full, one after another, while all processes run.
test("disks that are full in turn leave a working log", async (t) => {
  for (const seed of [31, 32, 33, 34]) {
    const cluster = await LogCluster.start(3, seed);
    await cluster.commit(60);
    for (let round = 1; round <= 3; round++) {
      for (const node of cluster.nodes) {
        node.disk.freeBytes = cluster.random.integer(0, 300);
        await cluster.commit(20);
        await cluster.time.advance(FULL_MILLISECONDS);
        node.disk.freeBytes = Number.POSITIVE_INFINITY;
        await untilReopened(cluster, node, round);
      }
    }
    await cluster.commit(60);
    await cluster.untilEqual();
    const roles = cluster.nodes.map(({ log }) => log.status().role);
    t.false(roles.includes("stopped"));
    t.deepEqual(cluster.findViolations(), []);
  }
});

test("leader with a full disk is succeeded and follows again", async (t) => {
  const cluster = await LogCluster.start(3, 35);
  await cluster.commit(10);
  const leader = await cluster.untilLeader();
  leader.disk.freeBytes = 0;
  await cluster.commit(10);
  t.not(cluster.leader, leader);
  leader.disk.freeBytes = Number.POSITIVE_INFINITY;
  await untilReopened(cluster, leader, 1);
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});

// Guards against a replica that counts bytes as durable because they can be
// read, although their sync has failed.
test("bytes whose sync has failed are not taken for durable", async (t) => {
  for (const seed of [41, 42, 43]) {
    const cluster = await LogCluster.start(1, seed);
    const [node] = cluster.nodes;
    await cluster.commit(5);
    node!.disk.isSyncFailing = true;
    t.false(await cluster.untilSettled(cluster.propose()));
    node!.disk.isSyncFailing = false;
    await untilReopened(cluster, node!, 1);
    await cluster.untilLeader();
    await cluster.commit(5);
    node!.crash();
    await cluster.untilSettled(node!.start());
    await cluster.untilLeader();
    await cluster.commit(1);
    t.deepEqual(cluster.findViolations(), []);
  }
});

test("disk that is full at the start is used once it has room", async (t) => {
  const cluster = await LogCluster.start(3, 51);
  await cluster.commit(10);
  const [node] = cluster.followers;
  node!.crash();
  node!.disk.freeBytes = 0;
  node!.disk.files.delete("log/term.json");
  await cluster.untilSettled(node!.start());
  await cluster.time.advance(FULL_MILLISECONDS);
  node!.disk.freeBytes = Number.POSITIVE_INFINITY;
  await cluster.commit(10);
  await cluster.untilEqual();
  t.deepEqual(cluster.findViolations(), []);
});
