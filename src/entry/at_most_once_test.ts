import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { eventually } from "../../testing/eventually.ts";
import { Fleet, kill, LIVE_CALLER_KEY } from "../../testing/fleet.ts";
import { fetchJson, postJson } from "../../testing/http.ts";

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({ instances: 3, voters: 1, engines: 2 });
});

test.after.always(() => fleet?.stop());

function send(instance: number, prompt: string, tokens: number) {
  const url = `${fleet.instances[instance]?.callersUrl}/v1/completions`;
  const body = { model: "alert-writer", prompt, max_tokens: tokens };
  return postJson(url, body, {
    authorization: `Bearer ${LIVE_CALLER_KEY}`,
    "idempotency-key": prompt,
    "figroad-idempotent": "false",
  });
}

async function countStartedRuns(prompt: string): Promise<number> {
  const counts = await Promise.all(
    fleet.engines.map(({ url }) => fetchJson(`${url}/standin/counts`)),
  );
  return counts.reduce(
    (sum, { body }) => sum + (body.begun[prompt] ?? 0),
    0,
  );
}

test.serial("instance killed: its request is not run again", async (t) => {
  const interrupted = send(1, "killed", 2_000);
  await eventually(
    "request began",
    async () => await countStartedRuns("killed") > 0,
  );
  const [, running] = fleet.instances;
  if (running) await kill(running.process, "SIGKILL");
  await t.throwsAsync(interrupted, { any: true });
  const retried = await send(2, "killed", 2_000);
  t.is(retried.status, 409);
  t.is(retried.headers.get("figroad-verdict"), "may-have-run");
  await sleep(200);
  t.is(await countStartedRuns("killed"), 1);
});

test.serial("voter stopped: request waits and runs once", async (t) => {
  const [voter] = fleet.instances;
  const pid = voter?.process.pid ?? 0;
  process.kill(pid, "SIGSTOP");
  const sent = send(2, "stopped", 4);
  await sleep(500);
  t.is(await countStartedRuns("stopped"), 0);
  process.kill(pid, "SIGCONT");
  const first = await sent;
  const second = await send(2, "stopped", 4);
  t.is(first.status, 200);
  t.deepEqual(second.body, first.body);
  t.is(await countStartedRuns("stopped"), 1);
});

test.serial("no quorum: requests are refused and not run", async (t) => {
  const voters = await Fleet.start({ instances: 3, voters: 3, engines: 1 });
  const [killed, stopped, survivor] = voters.instances;
  const url = `${survivor?.callersUrl}/v1/completions`;
  const post = (prompt: string) =>
    postJson(url, { model: "alert-writer", prompt, max_tokens: 4 }, {
      authorization: `Bearer ${LIVE_CALLER_KEY}`,
      "idempotency-key": prompt,
      "figroad-timeout-ms": "60000",
    });
  try {
    t.is((await post("before")).status, 200);
    if (killed) await kill(killed.process, "SIGKILL");
    process.kill(stopped?.process.pid ?? 0, "SIGSTOP");
    const unavailable = await Promise.all(["a", "b", "c"].map(post));
    const late = await post("d");
    for (const { status, headers } of [...unavailable, late]) {
      t.is(status, 503);
      t.is(headers.get("figroad-verdict"), "not-run");
      t.truthy(headers.get("retry-after"));
    }
    process.kill(stopped?.process.pid ?? 0, "SIGCONT");
    await eventually(
      "requests run again",
      async () => (await post("after")).status === 200,
    );
  } finally {
    process.kill(stopped?.process.pid ?? 0, "SIGCONT");
    await voters.stop();
  }
});
