import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { eventually } from "../../testing/eventually.ts";
import { listen, SystemClock } from "../common/mod.ts";
import { HttpPlainAdapter } from "./http_plain_adapter.ts";

/** Target that sends its first answer a second time, when told to. */
class RepeatingTarget {
  readonly sockets: Socket[] = [];
  requests = 0;
  repeatFirst = () => {};
  readonly server: Server;

  constructor(options: { echoes: boolean }) {
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on("error", () => {});
      socket.on("data", (bytes) => {
        this.requests += 1;
        const id = /x-request-id: (\S+)/i.exec(bytes.toString())?.[1];
        const body = `answer ${this.requests}`;
        const echo = options.echoes ? `X-Request-Id: ${id}\r\n` : "";
        const answer =
          `HTTP/1.1 200 OK\r\n${echo}Content-Length: ${body.length}\r\n\r\n` +
          body;
        if (this.requests === 2) return this.repeatFirst();
        if (this.requests === 1) {
          this.repeatFirst = () => void socket.write(answer);
        }
        socket.write(answer);
      });
    });
  }
}

/** Sends requests one after the other; returns answers or failures. */
async function send(t: ExecutionContext, target: RepeatingTarget) {
  const port = await listen(target.server, "127.0.0.1", { port: 0 });
  const clock = new SystemClock();
  const adapter = new HttpPlainAdapter(clock);
  t.teardown(() => {
    adapter.dispose();
    target.server.close();
    for (const socket of target.sockets) socket.destroy();
  });
  return async () => {
    const answer = await adapter.call(
      { id: "one", address: "127.0.0.1", port },
      { method: "GET", path: "/", headers: {}, body: new Uint8Array() },
      {
        deadline: clock.deadlineIn(30_000),
        headDeadline: clock.deadlineIn(30_000),
        signal: new AbortController().signal,
        freshConnection: false,
      },
    );
    if (answer.isErr()) return answer.error.verdict;
    let text = "";
    for await (const part of answer.value.body) {
      text += new TextDecoder().decode(part);
    }
    await sleep(20);
    return text;
  };
}

// Guards against a caller who gets the answer to another request, as a target
// sends a second copy late, on a connection that is in use again.
test("second copy of an answer reaches no other request", async (t) => {
  const target = new RepeatingTarget({ echoes: false });
  const sendNext = await send(t, target);
  t.is(await sendNext(), "answer 1");
  const second = sendNext();
  await eventually("the second request", () => target.requests === 2);
  // The target answers the second request after the copy of the first answer.
  target.sockets.at(-1)!.write(
    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer 2",
  );
  t.is(await second, "answer 2");
});

// The same, with a target that names the request in its answers.
test("second copy of an answer is recognised by its request", async (t) => {
  const target = new RepeatingTarget({ echoes: true });
  // The first request has a connection of its own, the second one's is kept.
  target.requests = 2;
  const sendNext = await send(t, target);
  t.is(await sendNext(), "answer 3");
  target.requests = 0;
  t.is(await sendNext(), "answer 1");
  t.is(await sendNext(), "may-have-run");
  t.is(await sendNext(), "answer 3");
});
