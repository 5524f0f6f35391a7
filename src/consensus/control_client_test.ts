import test from "ava";
import { err, ok } from "neverthrow";
import { mayHaveRun } from "../common/mod.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { LogCluster } from "../../testing/log_cluster.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { ControlClient } from "./control_client.ts";
import { LeaderFinder } from "./leader_finder.ts";
import { proposeMethod, statusMethod } from "./messages.ts";

const SILENT = { id: "silent", address: "127.0.0.1", port: 1 };

function clientOf(cluster: LogCluster): ControlClient {
  const clock = new VirtualClock(cluster.time);
  const rpc = cluster.network.connect("client", clock);
  return new ControlClient(() => cluster.founders, rpc, { clock });
}

test("client finds the new leader after an election", async (t) => {
  const cluster = await LogCluster.start(3, 1);
  const client = clientOf(cluster);
  const clock = new VirtualClock(cluster.time);
  const propose = (id: string) =>
    cluster.untilSettled(client.call(proposeMethod, {
      section: "register",
      command: { id },
    }, { deadline: clock.deadlineIn(5_000) }));
  t.true((await propose("a")).isOk());
  cluster.leader?.crash();
  t.true((await propose("b")).isOk());
});

test("silent voter does not delay calls", async (t) => {
  const cluster = await LogCluster.start(3, 2);
  cluster.network.isolated.add(cluster.followers[0]?.address.id ?? "");
  const client = clientOf(cluster);
  const { time } = cluster;
  const deadline = new VirtualClock(time).deadlineIn(5_000);
  const startedAt = time.now;
  const params = { section: "register", command: { id: "a" } };
  const answer = await cluster.untilSettled(
    client.call(proposeMethod, params, { deadline }),
  );
  t.true(answer.isOk());
  t.true(time.now - startedAt < 500);
});

test("call that may have run is not sent again", async (t) => {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(1));
  let calls = 0;
  for (const id of ["a", "b"]) {
    const server = network.connect(id, clock);
    server.handle(proposeMethod, () => {
      calls += 1;
      return Promise.resolve(err(mayHaveRun("unavailable", "gone")));
    });
    server.handle(statusMethod, () =>
      Promise.resolve(ok({
        id,
        role: "leader" as const,
        term: 1,
        leader: id,
        firstIndex: 1,
        lastIndex: 1,
        commitIndex: 1,
        appliedIndex: 1,
        voters: [],
        learners: [],
      })));
  }
  const voters = ["a", "b"].map((id) => ({ ...SILENT, id }));
  const rpc = network.connect("client", clock);
  const client = new ControlClient(() => voters, rpc, { clock });
  const params = { section: "register", command: {} };
  const answer = client.call(proposeMethod, params, {
    deadline: clock.deadlineIn(3_000),
  });
  await time.advance(3_000);
  t.is((await answer)._unsafeUnwrapErr().verdict, "may-have-run");
  t.is(calls, 1);
});

test("leader search ends when a majority knows no leader", async (t) => {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(2));
  let leader: string | undefined = undefined;
  for (const id of ["a", "b"]) {
    network.connect(id, clock).handle(statusMethod, () =>
      Promise.resolve(ok({
        ...{ id, role: "follower" as const, term: 1, leader },
        ...{ firstIndex: 1, lastIndex: 1, commitIndex: 1, appliedIndex: 1 },
        ...{ voters: [], learners: [] },
      })));
  }
  network.connect("dark", clock);
  network.isolated.add("dark");
  const voters = ["a", "b", "dark"].map((id) => ({ ...SILENT, id }));
  const rpc = network.connect("client", clock);
  const finder = new LeaderFinder(() => voters, rpc, { clock });
  const found: (string | undefined)[] = [];
  const search = () =>
    finder.find({ deadline: clock.deadlineIn(5_000) })
      .then((peer) => found.push(peer?.id));
  void search();
  await time.advance(200);
  t.deepEqual(found, [undefined]);
  leader = "a";
  void search();
  await time.advance(200);
  t.deepEqual(found, [undefined, "a"]);
});

test("leader is found with one dead and one removed voter", async (t) => {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const network = new FakeNetwork(time, new TestRandom(3));
  const ids = ["a", "b", "dead", "removed"];
  let calls = 0;
  for (const id of ["a", "b"]) {
    const server = network.connect(id, clock);
    server.handle(statusMethod, () =>
      Promise.resolve(ok({
        ...{ id, role: "follower" as const, term: 3, leader: "a" },
        ...{ firstIndex: 1, lastIndex: 1, commitIndex: 1, appliedIndex: 1 },
        ...{ voters: [], learners: [] },
      })));
    server.handle(proposeMethod, () => {
      calls += 1;
      return Promise.resolve(ok({ output: {} }));
    });
  }
  for (const id of ["dead", "removed"]) {
    network.connect(id, clock);
    network.isolated.add(id);
  }
  const seeds = ids.map((id) => ({ ...SILENT, id }));
  const rpc = network.connect("client", clock);
  const client = new ControlClient(() => seeds, rpc, { clock });
  const params = { section: "register", command: {} };
  const answer = client.call(proposeMethod, params, {
    deadline: clock.deadlineIn(500),
  });
  await time.advance(500);
  t.true((await answer).isOk());
  t.is(calls, 1);
});
