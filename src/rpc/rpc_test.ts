import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { ok } from "neverthrow";
import { z } from "zod";
import { SystemClock } from "../common/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { eventually } from "../../testing/eventually.ts";
import { Relay } from "../../testing/relay.ts";
import { defineMethod } from "./define_method.ts";
import { FrameReader, MAXIMUM_FRAME_CHARACTERS } from "./frame_reader.ts";
import { RpcClient } from "./rpc_client.ts";
import { RpcServer } from "./rpc_server.ts";

const clock = new SystemClock();
const events = new SilentEventLog();

/** Responds after a delay in milliseconds with a text of the given length. */
const echoMethod = defineMethod("test.echo", {
  params: z.object({ delay: z.number(), length: z.number() }),
  result: z.object({ text: z.string() }),
});

/**
 * Starts a server and a client, which are disposed of after the test.
 *
 * @param gate if given, calls are answered only after it is resolved.
 */
async function startPair(
  t: ExecutionContext,
  gate?: Promise<void>,
): Promise<
  { server: RpcServer; client: RpcClient; port: number; calls: () => number }
> {
  const server = new RpcServer(clock, events);
  let calls = 0;
  server.handle(echoMethod, async ({ delay, length }) => {
    calls += 1;
    await gate;
    await clock.sleepUntil(clock.deadlineIn(delay));
    return ok({ text: "x".repeat(length) });
  });
  const port = await server.listen("127.0.0.1", 0);
  const client = new RpcClient("client", clock, { events });
  t.teardown(() => {
    client.dispose();
    server.dispose();
  });
  return { server, client, port, calls: () => calls };
}

function peerAt(port: number) {
  return { id: "server", address: "127.0.0.1", port };
}

function echo(
  client: RpcClient,
  port: number,
  options: { delay?: number; length?: number; timeout?: number },
) {
  const { delay = 0, length = 1, timeout = 20_000 } = options;
  const deadline = clock.deadlineIn(timeout);
  return client.call(peerAt(port), echoMethod, { delay, length }, { deadline });
}

test("call of another fleet is refused", async (t) => {
  const server = new RpcServer(clock, events, { fleet: "one" });
  server.handle(echoMethod, () => Promise.resolve(ok({ text: "x" })));
  const port = await server.listen("127.0.0.1", 0);
  const own = new RpcClient("client", clock, { events, fleet: "one" });
  const other = new RpcClient("client", clock, { events, fleet: "two" });
  t.true((await echo(own, port, {})).isOk());
  const refused = await echo(other, port, {});
  t.is(refused._unsafeUnwrapErr().code, "forbidden");
  t.is(refused._unsafeUnwrapErr().verdict, "not-run");
  own.dispose();
  other.dispose();
  server.dispose();
});

test("silent connection is replaced", async (t) => {
  const { client, port } = await startPair(t);
  const relay = new Relay(port);
  t.teardown(() => relay.dispose());
  const relayPort = await relay.listen();
  t.true((await echo(client, relayPort, {})).isOk());
  relay.silenceOpenConnections();
  const lost = await echo(client, relayPort, {});
  t.is(lost._unsafeUnwrapErr().verdict, "may-have-run");
  t.is(lost._unsafeUnwrapErr().code, "unavailable");
  t.true((await echo(client, relayPort, { timeout: 2_000 })).isOk());
  t.is(client.statistics.silentConnectionsClosed, 1);
});

test("silent connection is replaced while short calls time out", async (t) => {
  const { client, port } = await startPair(t);
  const relay = new Relay(port);
  t.teardown(() => relay.dispose());
  const relayPort = await relay.listen();
  t.true((await echo(client, relayPort, {})).isOk());
  relay.silenceOpenConnections();
  await eventually(
    "a short call is answered",
    async () => (await echo(client, relayPort, { timeout: 100 })).isOk(),
  );
  // On a busy machine a short call may time out on a new connection too. That
  // connection is then suspect as well and is replaced by another one.
  const replacedConnections = client.statistics.doubtfulConnectionsLeft;
  t.true(replacedConnections >= 1);
  t.true(relay.connectionsOpened > replacedConnections);
});

test("silent peer keeps its connection", async (t) => {
  const { client, port } = await startPair(t);
  const relay = new Relay(port);
  t.teardown(() => relay.dispose());
  const relayPort = await relay.listen();
  t.true((await echo(client, relayPort, {})).isOk());
  relay.isolate();
  const lost = await echo(client, relayPort, { timeout: 4_500 });
  t.is(lost._unsafeUnwrapErr().code, "deadline-exceeded");
  t.is(client.statistics.silentConnectionsClosed, 0);
});

test("slow handler keeps its connection", async (t) => {
  const { client, port } = await startPair(t);
  t.true((await echo(client, port, { delay: 5_000 })).isOk());
  t.is(client.statistics.silentConnectionsClosed, 0);
});

test("late response is dropped", async (t) => {
  let respond = () => {};
  const gate = new Promise<void>((resolve) => respond = resolve);
  const { client, port, calls } = await startPair(t, gate);
  const call = echo(client, port, { timeout: 1_000 });
  await eventually("the server has the call", () => calls() === 1);
  t.is((await call)._unsafeUnwrapErr().code, "deadline-exceeded");
  respond();
  await eventually("late", () => client.statistics.lateAnswersDropped === 1);
  const next = await echo(client, port, { length: 3 });
  t.is(next._unsafeUnwrap().text, "xxx");
});

test("call past its deadline is not sent", async (t) => {
  const { client, port, calls } = await startPair(t);
  const past = await echo(client, port, { timeout: 0 });
  t.is(past._unsafeUnwrapErr().verdict, "not-run");
  t.is(calls(), 0);
});

test("oversized response fails its call and no other", async (t) => {
  const { client, port } = await startPair(t);
  const length = MAXIMUM_FRAME_CHARACTERS + 1;
  const waiting = echo(client, port, { delay: 500 });
  const answer = await echo(client, port, { length });
  t.is(answer._unsafeUnwrapErr().code, "too-large");
  t.true((await waiting).isOk());
});

test("pending calls fail when the server closes", async (t) => {
  const { server, client, port } = await startPair(t);
  const waiting = echo(client, port, { delay: 5_000 });
  await clock.sleepUntil(clock.deadlineIn(100));
  server.dispose();
  const failure = (await waiting)._unsafeUnwrapErr();
  t.deepEqual([failure.code, failure.verdict], ["unavailable", "may-have-run"]);
  const refused = (await echo(client, port, {}))._unsafeUnwrapErr();
  t.deepEqual([refused.code, refused.verdict], ["unavailable", "not-run"]);
});

test("invalid frames do not affect other connections", async (t) => {
  const { client, port } = await startPair(t);
  for (const frame of ["null", "7", "{", "[]", '{"id":1}']) {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => {});
    socket.write(`${frame}\n`);
    await new Promise((resolve) => {
      socket.once("data", resolve);
      socket.once("close", resolve);
    });
    socket.destroy();
  }
  t.true((await echo(client, port, {})).isOk());
});

test("calls to a peer that does not read are refused", async (t) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket.pause());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const client = new RpcClient("client", clock, { events });
  const bulky = defineMethod("test.bulky", {
    params: z.object({ text: z.string() }),
    result: z.object({}),
  });
  const text = "x".repeat(4 * 1024 * 1024);
  const codes: string[] = [];
  const calls = Array.from({ length: 16 }, async () => {
    const deadline = clock.deadlineIn(1_500);
    const options = { deadline };
    const answer = await client.call(peerAt(port), bulky, { text }, options);
    codes.push(answer._unsafeUnwrapErr().code);
  });
  await Promise.all(calls);
  t.true(client.statistics.callsRefusedCongested > 0);
  t.is(codes.length, 16);
  client.dispose();
  for (const socket of sockets) socket.destroy();
  server.close();
});

test("peer that does not read its responses is disconnected", async (t) => {
  const { client, port, calls } = await startPair(t);
  const socket = connect({ host: "127.0.0.1", port }).pause();
  socket.on("error", () => {});
  const body = { delay: 0, length: 8 * 1024 * 1024 };
  for (let id = 1; id <= 64; id++) {
    const params = { from: "slow", remaining: 60_000, body };
    const call = { jsonrpc: "2.0", id, method: echoMethod.name, params };
    socket.write(`${JSON.stringify(call)}\n`);
    await clock.sleepUntil(clock.deadlineIn(5));
  }
  await eventually("closed", () => socket.destroyed || isClosed(socket));
  t.true(calls() < 64);
  t.true((await echo(client, port, {})).isOk());
});

function isClosed(socket: Socket): boolean {
  // A socket that does not read detects a reset only when it writes.
  socket.write("\n");
  return socket.destroyed;
}

test("frames split at any byte are reassembled", (t) => {
  const bytes = Buffer.from('{"a":"ä€"}\n{"b":2}\n');
  for (let cut = 0; cut <= bytes.length; cut++) {
    const reader = new FrameReader();
    const frames = [
      ...reader.push(bytes.subarray(0, cut)),
      ...reader.push(bytes.subarray(cut)),
    ];
    t.deepEqual(frames, ['{"a":"ä€"}', '{"b":2}']);
  }
});
