// Measures the latency and processor time that figroad adds to a live request,
// and how evenly instances that choose engines concurrently spread streams.
import process from "node:process";
import { Fleet, LIVE_CALLER_KEY } from "../testing/fleet.ts";
import { measureHerding } from "./herding.ts";
import { readUsage } from "./process_usage.ts";
import { median, quantile } from "./statistics.ts";

const RUNS = 5;
const SEEDS = [1, 2, 3, 4, 5];

/** Sequential requests in each run, to measure latencies. */
const LATENCY_REQUESTS = 200;

/** Short requests in each run, to measure processor time per request. */
const SHORT_REQUESTS = 400;

/** Concurrent streams and tokens of each, to measure time per token. */
const STREAMS = 32;
const TOKENS = 400;

/** Options of an engine whose own latency is negligible. */
const FAST_ENGINE = {
  stepMilliseconds: 1,
  perStreamMilliseconds: 0.01,
  perPrefillWordMilliseconds: 0,
  maximumStreams: 64,
};

interface ISender {
  readonly name: string;
  readonly url: string;
  readonly headers: Record<string, string>;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Sends a streamed request; resolves with the latency of its first token. */
async function send(sender: ISender, tokens: number): Promise<number> {
  const startedAt = performance.now();
  const response = await fetch(`${sender.url}/v1/completions`, {
    method: "POST",
    headers: { "content-type": "application/json", ...sender.headers },
    body: JSON.stringify({
      model: "alert-writer",
      prompt: "level notice",
      max_tokens: tokens,
      stream: true,
    }),
  });
  let first = 0;
  let characters = 0;
  for await (const bytes of response.body ?? []) {
    first ||= performance.now() - startedAt;
    characters += (bytes as Uint8Array).length;
  }
  if (response.status !== 200 || characters === 0) {
    throw new Error(`${sender.name} returned ${response.status}`);
  }
  return first;
}

async function measureLatencies(sender: ISender): Promise<number[]> {
  const values: number[] = [];
  for (let count = 0; count < LATENCY_REQUESTS; count++) {
    values.push(await send(sender, 2));
  }
  return values;
}

async function measureProcessorTime(
  pid: number,
  work: () => Promise<void>,
): Promise<number> {
  const before = await readUsage(pid);
  await work();
  const after = await readUsage(pid);
  return after.processorMilliseconds - before.processorMilliseconds;
}

async function sendShortRequests(sender: ISender): Promise<void> {
  for (let sent = 0; sent < SHORT_REQUESTS; sent += 8) {
    await Promise.all(Array.from({ length: 8 }, () => send(sender, 1)));
  }
}

async function sendLongStreams(sender: ISender): Promise<void> {
  await Promise.all(
    Array.from({ length: STREAMS }, () => send(sender, TOKENS)),
  );
}

async function measureCost(): Promise<void> {
  const fleet = await Fleet.start({
    instances: 1,
    voters: 1,
    engines: 1,
    engineOptions: FAST_ENGINE,
  });
  const [instance] = fleet.instances;
  const [engine] = fleet.engines;
  if (!instance || !engine) throw new Error("the fleet did not start");
  const headers = { authorization: `Bearer ${LIVE_CALLER_KEY}` };
  const atMostOnceHeaders = { ...headers, "figroad-idempotent": "false" };
  const direct = { name: "direct", url: engine.url, headers: {} };
  const viaFigroad = { name: "figroad", url: instance.callersUrl, headers };
  const recorded = {
    name: "figroad, at most once",
    url: instance.callersUrl,
    headers: atMostOnceHeaders,
  };
  const senders: ISender[] = [direct, viaFigroad, recorded];
  const pid = instance.process.pid ?? 0;
  for (const sender of senders) await sendShortRequests(sender);

  const results = new Map<string, number[][]>();
  const perRequest: number[] = [];
  const perToken: number[] = [];
  for (let run = 0; run < RUNS; run++) {
    for (const sender of senders) {
      const values = await measureLatencies(sender);
      results.set(sender.name, [...results.get(sender.name) ?? [], values]);
    }
    const short = await measureProcessorTime(
      pid,
      () => sendShortRequests(viaFigroad),
    );
    const long = await measureProcessorTime(
      pid,
      () => sendLongStreams(viaFigroad),
    );
    const request = short / SHORT_REQUESTS;
    perRequest.push(request);
    perToken.push((long - request * STREAMS) / (STREAMS * TOKENS));
  }
  await fleet.stop();
  print("first token, ms (medians over runs)     p50     p95     p99");
  for (const [name, runs] of results) {
    const columns = [0.5, 0.95, 0.99].map((share) =>
      median(runs.map((values) => quantile(values, share)))
        .toFixed(2).padStart(7)
    );
    print(`  ${name.padEnd(36)}${columns.join(" ")}`);
  }
  const request = median(perRequest) * 1_000;
  const token = median(perToken) * 1_000;
  print(`processor time per request: ${request.toFixed(0)} us`);
  print(`processor time per token: ${token.toFixed(1)} us`);
}

function printHerding(): void {
  print("12 instances, 8 engines, bursts; streams on the most loaded engine");
  print(
    "  strategy                      excess p50  p99   most  above 32 streams",
  );
  for (const result of measureHerding(SEEDS)) {
    const columns = [
      result.variant.padEnd(30),
      result.excessP50.toFixed(1).padStart(9),
      result.excessP99.toFixed(1).padStart(6),
      String(result.largestCount).padStart(6),
      `${(result.queuedShare * 100).toFixed(2)}%`.padStart(12),
    ];
    print(`  ${columns.join(" ")}`);
  }
}

/** Measures the cost of a live request and the spread of streams. */
export async function measure(): Promise<void> {
  printHerding();
  await measureCost();
}
