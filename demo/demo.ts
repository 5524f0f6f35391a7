// Starts stand-in engines and one figroad instance, sends a streamed live
// request and a batch job through them and prints the results.
import { createHash } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { explanationLines } from "../src/cli/commands/explain.ts";
import { formatTable, formatTime } from "../src/cli/output.ts";
import { configurationHistoryMethod } from "../src/configuration/mod.ts";
import { startDaemon } from "../src/composition/mod.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import { explanationSchema } from "../src/explain/mod.ts";
import { settingsSchema } from "../src/settings/mod.ts";
import { EngineStandin } from "../testing/engine_standin.ts";
import { applyConfiguration, fetchJson, postJson } from "../testing/http.ts";

const API_KEY = "demo-key";
const ENGINE_COUNT = 2;
const ITEM_COUNT = 40;
const MAXIMUM_TOKENS = 12;

function print(line = ""): void {
  process.stdout.write(`${line}\n`);
}

function printIndented(lines: readonly string[]): void {
  for (const line of lines) print(`  ${line}`);
}

function createConfiguration(ports: number[]): object {
  return {
    places: [{ region: "demo", failureDomains: ["here"] }],
    services: [{ name: "alerts", model: "alert-writer" }],
    engines: ports.map((port, index) => ({
      id: `engine-${index}`,
      service: "alerts",
      address: "127.0.0.1",
      port,
      failureDomain: "here",
    })),
    callers: [{
      name: "visitor",
      group: "demo",
      keySha256: createHash("sha256").update(API_KEY).digest("hex"),
    }],
    rules: [{ callers: ["visitor"], services: ["alerts"], batch: true }],
  };
}

/** Sends a streamed request and returns its identifier. */
async function sendLiveRequest(url: string): Promise<string> {
  const startedAt = performance.now();
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${API_KEY}` },
    body: JSON.stringify({
      model: "alert-writer",
      messages: [{ role: "user", content: "A green glow in the north" }],
      max_tokens: MAXIMUM_TOKENS,
      stream: true,
    }),
  });
  let firstTokenMilliseconds = 0;
  let text = "";
  const decoder = new TextDecoder();
  for await (const bytes of response.body ?? []) {
    firstTokenMilliseconds ||= performance.now() - startedAt;
    text += decoder.decode(bytes, { stream: true });
  }
  const tokens = text.split("\n\n").filter((event) =>
    event.includes('"content"')
  );
  const id = response.headers.get("x-request-id") ?? "";
  print(`  status ${response.status}, request ${id}`);
  print(
    `  first token after ${
      firstTokenMilliseconds.toFixed(1)
    } ms, ${tokens.length} tokens in ${
      (performance.now() - startedAt).toFixed(1)
    } ms`,
  );
  return id;
}

async function printExplanation(
  operatorsUrl: string,
  id: string,
): Promise<void> {
  const { body } = await fetchJson(`${operatorsUrl}/explain?id=${id}`);
  printIndented(explanationLines(explanationSchema.parse(body)));
}

async function printHistory(operatorsUrl: string): Promise<void> {
  const { body } = await fetchJson(`${operatorsUrl}/configuration/history`);
  const { records } = configurationHistoryMethod.result.parse(body);
  printIndented(formatTable(
    ["VERSION", "ACCEPTED", "OPERATOR"],
    records.map(({ version, acceptedAt, operator }) => [
      String(version),
      formatTime(acceptedAt),
      operator,
    ]),
  ));
}

async function runBatchJob(url: string): Promise<void> {
  const authorization = `Bearer ${API_KEY}`;
  const lines = Array.from(
    { length: ITEM_COUNT },
    (_, index) =>
      JSON.stringify({
        custom_id: `gauge-${index}`,
        method: "POST",
        url: "/v1/completions",
        body: {
          model: "alert-writer",
          prompt: `Level report for gauge ${index}`,
          max_tokens: MAXIMUM_TOKENS,
        },
      }),
  );
  const form = new FormData();
  form.set("purpose", "batch");
  form.set("file", new Blob([lines.join("\n")]), "gauges.jsonl");
  const file = await fetchJson(`${url}/v1/files`, {
    method: "POST",
    headers: { authorization },
    body: form,
  });
  const submitted = await postJson(`${url}/v1/batches`, {
    input_file_id: file.body.id,
    endpoint: "/v1/completions",
    completion_window: "24h",
  }, { authorization, "idempotency-key": "demo-job" });
  print(`  job ${submitted.body.id} with ${ITEM_COUNT} items accepted`);
  let job = submitted.body;
  while (job.status === "in_progress") {
    await sleep(100);
    const headers = { authorization };
    job = (await fetchJson(`${url}/v1/batches/${job.id}`, { headers })).body;
  }
  const { completed, failed } = job.request_counts;
  print(`  ${job.status}: ${completed} done, ${failed} failed`);
  const content = await fetch(`${url}/v1/files/${job.output_file_id}/content`, {
    headers: { authorization },
  });
  const [line] = (await content.text()).split("\n");
  const result = JSON.parse(line ?? "{}");
  print(
    `  first result: ${result.custom_id} -> ${
      result.response.body.choices[0].text.trim()
    }`,
  );
}

async function main(): Promise<void> {
  print("figroad demo: one instance, two stand-in engines, all on loopback");
  const folder = await mkdtemp(join(tmpdir(), "figroad-demo-"));
  const engines = Array.from(
    { length: ENGINE_COUNT },
    () => new EngineStandin(),
  );
  const ports = await Promise.all(engines.map((engine) => engine.listen()));
  const listener = { address: "127.0.0.1", port: 0 };
  const settings = settingsSchema.parse({
    instance: { id: "demo", region: "demo", failureDomain: "here" },
    callers: listener,
    peers: listener,
    operators: listener,
    voters: [{ id: "demo", ...listener, failureDomain: "here" }],
    control: { dataFolder: folder },
  });
  const daemon = await startDaemon(settings, new SilentEventLog());
  const callersUrl = `http://127.0.0.1:${daemon.ports.callers}`;
  const operatorsUrl = `http://127.0.0.1:${daemon.ports.operators}`;
  print(`  callers' API at ${callersUrl}, data in ${folder}`);
  print();
  print("1. An operator applies the inventory and the rules");
  const initialConfiguration = createConfiguration(ports.slice(0, 1));
  const version = await applyConfiguration(operatorsUrl, initialConfiguration);
  while ((await fetchJson(`${operatorsUrl}/ready`)).status !== 200) {
    await sleep(50);
  }
  print(`  configuration version ${version} is in force, with one engine`);
  print();
  print("2. A live request, streamed");
  const requestId = await sendLiveRequest(callersUrl);
  print();
  print("3. The operator adds a second engine");
  const next = await applyConfiguration(
    operatorsUrl,
    createConfiguration(ports),
  );
  print(`  configuration version ${next} is accepted`);
  print();
  print("4. A batch job");
  await runBatchJob(callersUrl);
  print();
  print("5. What figroad did with the live request (figroad explain)");
  await printExplanation(operatorsUrl, requestId);
  print();
  print("6. Who changed what (figroad config history)");
  await printHistory(operatorsUrl);
  print();
  await daemon.stop();
  engines.forEach((engine) => engine.destroy());
  await rm(folder, { recursive: true, force: true });
  print("Everything has stopped; the data folder is removed.");
}

await main();
process.exit(0);
