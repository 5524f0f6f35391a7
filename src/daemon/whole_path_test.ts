import test from "ava";
import OpenAI, { toFile } from "openai";
import { expectedText } from "../../testing/engine_standin.ts";
import {
  BATCH_CALLER_KEY,
  Fleet,
  LIVE_CALLER_KEY,
} from "../../testing/fleet.ts";

const TOKENS = 8;
const ITEMS = 200;

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({ instances: 3, voters: 1, engines: 2 });
});

test.after.always(() => fleet?.stop());

function client(instance: number, apiKey: string): OpenAI {
  const baseURL = `${fleet.instances[instance]?.callersUrl}/v1`;
  return new OpenAI({ baseURL, apiKey, maxRetries: 0 });
}

test("live request is streamed", async (t) => {
  const stream = await client(1, LIVE_CALLER_KEY).chat.completions.create({
    model: "alert-writer",
    messages: [{ role: "user", content: "green glow" }],
    max_tokens: TOKENS,
    stream: true,
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
  }
  t.is(text, expectedText("user: green glow", TOKENS));
});

/** Submits a job whose prompts begin with `name`. */
async function submit(openai: OpenAI, name: string, tokens: number) {
  const lines = Array.from({ length: ITEMS }, (_, index) =>
    JSON.stringify({
      custom_id: `${name}-${index}`,
      method: "POST",
      url: "/v1/completions",
      body: {
        model: "alert-writer",
        prompt: `${name} ${index}`,
        max_tokens: tokens,
      },
    }));
  const file = await openai.files.create({
    file: await toFile(new TextEncoder().encode(lines.join("\n")), "in.jsonl"),
    purpose: "batch",
  });
  return await openai.batches.create({
    input_file_id: file.id,
    endpoint: "/v1/completions",
    completion_window: "24h",
  });
}

test("batch job returns all results in order", async (t) => {
  const openai = client(2, BATCH_CALLER_KEY);
  const submitted = await submit(openai, "report", 4);
  let batch = submitted;
  while (batch.status === "in_progress") {
    await new Promise((resolve) => setTimeout(resolve, 100));
    batch = await openai.batches.retrieve(submitted.id);
  }
  t.is(batch.request_counts?.completed, ITEMS);
  const content = await openai.files.content(batch.output_file_id ?? "");
  const results = (await content.text()).trim().split("\n")
    .map((line) => JSON.parse(line));
  t.is(results.length, ITEMS);
  for (const [index, result] of results.entries()) {
    t.is(result.custom_id, `report-${index}`);
    const { text } = result.response.body.choices[0];
    t.is(text, expectedText(`report ${index}`, 4));
  }
});

test("cancelled batch job reports all items as errors", async (t) => {
  const openai = client(0, BATCH_CALLER_KEY);
  const submitted = await submit(openai, "long", 999);
  await openai.batches.cancel(submitted.id);
  const batch = await openai.batches.retrieve(submitted.id);
  t.is(batch.status, "cancelled");
  const errors = await openai.files.content(batch.error_file_id ?? "");
  t.is((await errors.text()).trim().split("\n").length, ITEMS);
  const missing = openai.batches.cancel("batch_missing");
  await t.throwsAsync(missing, { instanceOf: OpenAI.NotFoundError });
});
