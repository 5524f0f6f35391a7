import test from "ava";
import { LogCluster } from "../../testing/log_cluster.ts";

test("three voters", async (t) => {
  const cluster = await LogCluster.start(3, 1);
  await cluster.commit(10);
  await cluster.untilEqual();
  t.deepEqual(cluster.faults(), []);
});

test("one voter", async (t) => {
  const cluster = await LogCluster.start(1, 2);
  await cluster.commit(100);
  cluster.nodes[0]?.crash();
  await cluster.nodes[0]?.start();
  await cluster.untilLeader();
  await cluster.commit(1);
  t.deepEqual(cluster.faults(), []);
});
