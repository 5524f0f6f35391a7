import test from "ava";
import OpenAI, { toFile } from "openai";
import { expectedText } from "../../testing/engine_standin.ts";
import { eventually } from "../../testing/eventually.ts";
import {
  BATCH_CALLER_KEY,
  Fleet,
  type IFleetInstance,
  LIVE_CALLER_KEY,
} from "../../testing/fleet.ts";
import { fetchJson } from "../../testing/http.ts";

const TOKENS = 400;
const ITEMS = 300;

let fleet: Fleet;

test.before(async () => {
  const engineOptions = { stepMilliseconds: 15, maximumStreams: 16 };
  const size = { instances: 5, voters: 3, engines: 2 };
  fleet = await Fleet.start({ ...size, engineOptions });
});

test.after.always(() => fleet?.stop());

function instance(index: number): IFleetInstance {
  const found = fleet.instances[index];
  if (!found) throw new Error(`no instance ${index}`);
  return found;
}

function client(index: number, apiKey: string): OpenAI {
  const baseURL = `${instance(index).callersUrl}/v1`;
  return new OpenAI({ baseURL, apiKey, maxRetries: 0 });
}

async function stream(index: number, prompt: string, onToken: () => void) {
  const chunks = await client(index, LIVE_CALLER_KEY).completions.create({
    model: "alert-writer",
    prompt,
    max_tokens: TOKENS,
    stream: true,
  });
  let text = "";
  for await (const chunk of chunks) {
    text += chunk.choices[0]?.text ?? "";
    onToken();
  }
  return text;
}

function waitForExit(index: number): Promise<number | null> {
  return new Promise((resolve) =>
    instance(index).process.once("exit", (code) => resolve(code))
  );
}

/** Waits for a leader and returns the index of its instance. */
async function findLeader(): Promise<number> {
  let found = -1;
  await eventually("a leader among the voters", async () => {
    for (const index of [0, 1, 2]) {
      const url = `${instance(index).operatorsUrl}/status`;
      const status = await fetchJson(url).catch(() => undefined);
      if (status?.body.log?.role === "leader") found = index;
    }
    return found >= 0;
  });
  return found;
}

async function isReady(index: number): Promise<boolean> {
  const url = `${instance(index).operatorsUrl}/ready`;
  return (await fetchJson(url)).status === 200;
}

test.serial("planned stop interrupts no stream", async (t) => {
  let tokens = 0;
  const texts = ["first", "second"].map((prompt) =>
    stream(3, prompt, () => tokens += 1)
  );
  await eventually("streams in progress", () => tokens > 10);
  const exit = waitForExit(3);
  instance(3).process.kill("SIGTERM");
  await eventually("not ready", async () => !await isReady(3));
  // New requests are still served, as the load balancer may not have noticed.
  const late = stream(3, "late", () => {});
  t.is(await late, expectedText("late", TOKENS));
  const [first, second] = await Promise.all(texts);
  t.is(first, expectedText("first", TOKENS));
  t.is(second, expectedText("second", TOKENS));
  t.is(await exit, 0);
  const { body } = await fetchJson(`${instance(0).operatorsUrl}/status`);
  const member = body.members.find((member: { id: string }) =>
    member.id === "instance-3"
  );
  t.is(member.state, "leaving");
  await fleet.restart(instance(3));
  await fleet.waitUntilReady();
});

test.serial("batch job survives stops of worker and leader", async (t) => {
  const openai = client(3, BATCH_CALLER_KEY);
  const lines = Array.from({ length: ITEMS }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: "POST",
      url: "/v1/completions",
      body: { model: "alert-writer", prompt: `item ${index}`, max_tokens: 20 },
    }));
  const file = await openai.files.create({
    file: await toFile(new TextEncoder().encode(lines.join("\n")), "in.jsonl"),
    purpose: "batch",
  });
  let batch = await openai.batches.create({
    input_file_id: file.id,
    endpoint: "/v1/completions",
    completion_window: "24h",
  });
  const done = async () => {
    batch = await openai.batches.retrieve(batch.id);
    return batch.request_counts?.completed ?? 0;
  };
  await eventually(
    "items of the job to complete",
    async () => await done() > 20,
  );
  const worker = waitForExit(4);
  instance(4).process.kill("SIGTERM");
  t.is(await worker, 0);
  const index = await findLeader();
  const leader = waitForExit(index);
  instance(index).process.kill("SIGTERM");
  t.is(await leader, 0);
  t.not(await findLeader(), index);
  await fleet.restart(instance(index));
  await eventually("the end of the job", async () => {
    await done().catch(() => 0);
    return batch.status === "completed";
  });
  t.is(batch.request_counts?.completed, ITEMS);
  const content = await openai.files.content(batch.output_file_id ?? "");
  const ids = (await content.text()).trim().split("\n")
    .map((line) => JSON.parse(line).custom_id);
  t.is(new Set(ids).size, ITEMS);
  t.is(ids.length, ITEMS);
});

test.serial("process stopped during startup exits with 0", async (t) => {
  await fleet.restart(instance(4));
  const exit = waitForExit(4);
  await eventually("the operators' port", async () => {
    const url = `${instance(4).operatorsUrl}/health`;
    return (await fetchJson(url).catch(() => undefined))?.status === 200;
  });
  instance(4).process.kill("SIGTERM");
  instance(4).process.kill("SIGTERM");
  t.is(await exit, 0);
});
