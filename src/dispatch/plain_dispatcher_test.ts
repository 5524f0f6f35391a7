import test, { type ExecutionContext } from "ava";
import { alwaysAvailable } from "../../testing/dispatcher_fixture.ts";
import { PlainStandin } from "../../testing/plain_standin.ts";
import { RetryBudget } from "../admission/mod.ts";
import { SystemClock } from "../common/mod.ts";
import { plainServiceSchema } from "../configuration/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { TraceRecorder } from "../explain/mod.ts";
import { SeededRandom, TargetHealth } from "../routing/mod.ts";
import { HttpPlainAdapter } from "../targets/mod.ts";
import { PlainDispatcher } from "./plain_dispatcher.ts";

const SEED = 9;

async function bench(t: ExecutionContext, idempotent: boolean) {
  const standins = [new PlainStandin(), new PlainStandin()];
  const ports = await Promise.all(standins.map((each) => each.listen()));
  const clock = new SystemClock();
  const random = new SeededRandom(SEED);
  const targets = new HttpPlainAdapter(clock);
  const dispatcher = new PlainDispatcher({
    targets,
    clock,
    random,
    failureDomain: "a",
    health: new TargetHealth({ clock, random, events: new SilentEventLog() }),
    availability: alwaysAvailable,
    budget: new RetryBudget(),
    trace: new TraceRecorder("test", clock),
  });
  const service = plainServiceSchema.parse({
    name: "gauges",
    idempotent,
    targets: ports.map((port, index) => ({
      id: `target-${index}`,
      address: "127.0.0.1",
      port,
      failureDomain: "a",
    })),
  });
  t.teardown(() => {
    targets.dispose();
    standins.forEach((standin) => standin.dispose());
  });
  const call = async (text: string) => {
    const answer = await dispatcher.call({
      id: "request",
      service,
      deadline: clock.deadlineIn(5_000),
      signal: new AbortController().signal,
    }, {
      method: "POST",
      path: "/",
      headers: {},
      body: new TextEncoder().encode(text),
    });
    if (answer.isErr()) return answer.error;
    let body = "";
    for await (const part of answer.value.body) {
      body += new TextDecoder().decode(part);
    }
    return body;
  };
  return { standins, call };
}

test("idempotent call is retried at another target", async (t) => {
  const { standins: [first], call } = await bench(t, true);
  if (first) first.dropsAnswers = true;
  for (let index = 0; index < 8; index++) {
    t.is(await call(`c${index}`), `c${index}`);
  }
});

test("non-idempotent call is retried after a refused connection", async (t) => {
  const { standins: [first], call } = await bench(t, false);
  first?.dispose();
  for (let index = 0; index < 8; index++) {
    t.is(await call(`c${index}`), `c${index}`);
  }
});

test("non-idempotent call with a lost answer runs once", async (t) => {
  const { standins, call } = await bench(t, false);
  for (const standin of standins) standin.dropsAnswers = true;
  t.like(await call("lost"), { verdict: "may-have-run" });
  const runs = standins.map((standin) => standin.runs.get("lost") ?? 0);
  t.is(runs.reduce((sum, count) => sum + count, 0), 1);
});
