// Measures batch throughput and its effect on live requests by limit policy.
import { readFile } from "node:fs/promises";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { BATCH_CALLER_KEY, Fleet, kill } from "../testing/fleet.ts";
import { fetchJson, postJson } from "../testing/http.ts";
import {
  type ILivePattern,
  type ILiveSample,
  LiveClients,
} from "./live_clients.ts";
import { readUsage } from "./process_usage.ts";
import { median, quantile } from "./statistics.ts";

const SEED = 20_261_203;
const INSTANCES = 12;
const ENGINES = 8;
const ROUNDS = 3;
const ITEMS = 2_000;
const ITEM_TOKENS = 64;

const ENGINE_OPTIONS = {
  maximumStreams: 16,
  stepMilliseconds: 20,
  perStreamMilliseconds: 0.1,
  perPrefillWordMilliseconds: 0.02,
};

/** Options of engines that slow down more with each stream. */
const STEEP_ENGINE_OPTIONS = { ...ENGINE_OPTIONS, perStreamMilliseconds: 0.6 };

const PHASE_MILLISECONDS = 2_500;

/** Interval at which the runnable processes are counted. */
const RUNNABLE_COUNT_INTERVAL_MILLISECONDS = 20;

/** Time after which all engines have owners. */
const OWNER_WAIT_MILLISECONDS = 4_500;

/** Time after which a submitted job uses all engines. */
const FILL_WAIT_MILLISECONDS = 1_200;

/** Time after which no items of a cancelled job run at the engines. */
const DRAIN_WAIT_MILLISECONDS = 1_200;

/** Duration for which an engine is frozen in the phase with faults. */
const FREEZE_MILLISECONDS = 700;

const STEADY: ILivePattern = {
  requestsPerSecond: 36,
  burstRequests: 0,
  burstIntervalMilliseconds: 2_000,
  burstDurationMilliseconds: 150,
};
const BURSTS: ILivePattern = { ...STEADY, burstRequests: 48 };

const VARIANTS = [
  "unlimited",
  "fixed-share",
  "spare-slots",
  "learned",
  "concentrating",
];

interface IPhase {
  readonly live: ILiveSample;
  /** Batch tokens per second that engines generated. */
  readonly batchRate: number;
  readonly liveRate: number;
  /** Batch items per second whose results were recorded. */
  readonly itemRate: number;
  /** Mean processor usage of all instances, in cores. */
  readonly cores: number;
  /** Mean number of runnable processes on the machine. */
  readonly runnableProcesses: number;
}

/** Consecutive phases with the same load, without and with batch. */
interface IPhasePair {
  readonly withoutBatch: IPhase;
  readonly withBatch: IPhase;
}

interface IVariant {
  readonly name: string;
  /** Batch tokens per second without live requests. */
  readonly batchOnlyRate: number;
  readonly pairs: Map<string, IPhasePair[]>;
}

/**
 * Runs all variants, or those in `options`, and prints a table for each load.
 * The option `steep` uses engines that slow down more with each stream.
 */
export async function measure(options: readonly string[]): Promise<void> {
  const chosen = options.filter((word) => VARIANTS.includes(word));
  const engineOptions = options.includes("steep")
    ? STEEP_ENGINE_OPTIONS
    : ENGINE_OPTIONS;
  const names = chosen.length > 0 ? chosen : VARIANTS;
  const variants: IVariant[] = [];
  for (const name of names) {
    print(`# ${name}`);
    variants.push(await runVariant(name, engineOptions));
  }
  const { maximumStreams, stepMilliseconds, perStreamMilliseconds } =
    engineOptions;
  const nominalCapacity = ENGINES * maximumStreams * 1_000 /
    (stepMilliseconds + perStreamMilliseconds * maximumStreams);
  const measured = Math.max(
    ...variants.map(({ batchOnlyRate }) => batchOnlyRate),
  );
  print(
    `capacity by engine parameters: ${nominalCapacity.toFixed(0)} tokens/s`,
  );
  print(`measured with batch alone, best variant: ${measured.toFixed(0)}`);
  for (const load of ["steady", "bursts", "faults"]) {
    printTable(load, variants, measured);
  }
}

async function runVariant(
  name: string,
  engineOptions: typeof ENGINE_OPTIONS,
): Promise<IVariant> {
  const fleet = await Fleet.start({
    instances: INSTANCES,
    voters: 1,
    engines: ENGINES,
    engineOptions,
    // deno-lint-ignore no-explicit-any
    configure: (document: any) => {
      for (const engine of document.engines) {
        engine.maximumStreams = ENGINE_OPTIONS.maximumStreams;
      }
    },
    // deno-lint-ignore no-explicit-any
    settings: (settings: any) => {
      settings.batch = { limitPolicy: name };
    },
  });
  try {
    return await runPhases(name, fleet);
  } finally {
    await fleet.stop();
  }
}

async function runPhases(name: string, fleet: Fleet): Promise<IVariant> {
  const clients = new LiveClients(fleet, SEED);
  await sleep(OWNER_WAIT_MILLISECONDS);
  const pairs = new Map<string, IPhasePair[]>();
  const loads = { steady: STEADY, bursts: BURSTS };
  let batchOnlyRate = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const withoutBatch = new Map<string, IPhase>();
    for (const [key, load] of Object.entries(loads)) {
      withoutBatch.set(key, await runPhase(fleet, { clients, load }));
    }
    const jobId = await submitJob(fleet, `${round}`);
    await sleep(FILL_WAIT_MILLISECONDS);
    for (const [key, load] of Object.entries(loads)) {
      const phase = await runPhase(fleet, { clients, jobId, load });
      const pair = {
        withoutBatch: withoutBatch.get(key) ?? phase,
        withBatch: phase,
      };
      pairs.set(key, [...pairs.get(key) ?? [], pair]);
    }
    const idle = { ...STEADY, requestsPerSecond: 0.001 };
    const only = await runPhase(fleet, { clients, jobId, load: idle });
    batchOnlyRate = Math.max(batchOnlyRate, only.batchRate);
    await cancelJob(fleet, jobId);
    await sleep(DRAIN_WAIT_MILLISECONDS);
  }
  pairs.set("faults", [await runFaultPair(fleet, clients)]);
  return { name, batchOnlyRate, pairs };
}

async function runFaultPair(
  fleet: Fleet,
  clients: LiveClients,
): Promise<IPhasePair> {
  const options = { clients, load: BURSTS };
  const [withoutBatch] = await Promise.all([
    runPhase(fleet, options),
    injectFaults(fleet, fleet.instances.length - 1),
  ]);
  const jobId = await submitJob(fleet, "faults");
  await sleep(FILL_WAIT_MILLISECONDS);
  const [phase] = await Promise.all([
    runPhase(fleet, { ...options, jobId }),
    injectFaults(fleet, fleet.instances.length - 2),
  ]);
  return { withoutBatch, withBatch: phase };
}

interface IPhaseOptions {
  readonly clients: LiveClients;
  readonly jobId?: string;
  readonly load: ILivePattern;
}

async function runPhase(
  fleet: Fleet,
  options: IPhaseOptions,
): Promise<IPhase> {
  const { clients, jobId, load } = options;
  const before = await readCounts(fleet, jobId);
  const counting = countRunnableProcesses(PHASE_MILLISECONDS);
  const live = await clients.run(load, PHASE_MILLISECONDS);
  const tokens = live.tokens;
  const after = await readCounts(fleet, jobId);
  const runnableProcesses = await counting;
  await clients.waitForOpenRequests();
  const seconds = (after.at - before.at) / 1_000;
  const generated = after.tokens - before.tokens;
  return {
    live,
    batchRate: jobId ? (generated - tokens) / seconds : 0,
    liveRate: tokens / seconds,
    itemRate: (after.items - before.items) / seconds,
    cores: processorTimeBetween(before.usage, after.usage) / seconds / 1_000,
    runnableProcesses,
  };
}

/** Returns the mean number of runnable processes, from /proc/loadavg. */
async function countRunnableProcesses(milliseconds: number): Promise<number> {
  const counts: number[] = [];
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    const text = await readFile("/proc/loadavg", "utf8");
    counts.push(Number(/ (\d+)\//.exec(text)?.[1] ?? 0));
    await sleep(RUNNABLE_COUNT_INTERVAL_MILLISECONDS);
  }
  return sum(counts) / counts.length;
}

/** Freezes an engine and kills an instance without a disk. */
async function injectFaults(fleet: Fleet, killed: number): Promise<void> {
  await sleep(300);
  const [engine] = fleet.engines;
  await postJson(`${engine?.url}/standin/faults`, {
    freezeMilliseconds: FREEZE_MILLISECONDS,
  });
  await sleep(300);
  const instance = fleet.instances[killed];
  if (instance) await kill(instance.process, "SIGKILL");
}

async function readCounts(fleet: Fleet, jobId: string | undefined) {
  const counts = await Promise.all(
    fleet.engines.map(({ url }) => fetchJson(`${url}/standin/counts`)),
  );
  const at = performance.now();
  const usage = new Map<string, number>();
  for (const { id, process } of fleet.instances) {
    if (process.exitCode !== null || process.signalCode !== null) continue;
    const { processorMilliseconds } = await readUsage(process.pid ?? 0);
    usage.set(id, processorMilliseconds);
  }
  const job = jobId ? await readJob(fleet, jobId) : undefined;
  return {
    at,
    tokens: sum(counts.map(({ body }) => body.tokensGenerated)),
    items: job?.request_counts.completed ?? 0,
    usage,
  };
}

/** Sums the processor time of instances still running, in milliseconds. */
function processorTimeBetween(
  before: Map<string, number>,
  after: Map<string, number>,
): number {
  return sum(
    [...after].map(([id, used]) => used - (before.get(id) ?? used)),
  );
}

async function cancelJob(fleet: Fleet, jobId: string): Promise<void> {
  const url = `${fleet.instances[0]?.callersUrl}/v1/batches/${jobId}/cancel`;
  await postJson(url, {}, { authorization: `Bearer ${BATCH_CALLER_KEY}` });
}

async function submitJob(fleet: Fleet, name: string): Promise<string> {
  const authorization = `Bearer ${BATCH_CALLER_KEY}`;
  const url = fleet.instances[0]?.callersUrl ?? "";
  const lines = Array.from({ length: ITEMS }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      body: { prompt: `report ${name} ${index}`, max_tokens: ITEM_TOKENS },
    }));
  const form = new FormData();
  form.set("purpose", "batch");
  form.set("file", new Blob([lines.join("\n")]), "in.jsonl");
  const headers = { authorization };
  const options = { method: "POST", headers, body: form };
  const file = await fetchJson(`${url}/v1/files`, options);
  const job = await postJson(`${url}/v1/batches`, {
    input_file_id: file.body.id,
    endpoint: "/v1/completions",
    completion_window: "24h",
  }, headers);
  return job.body.id;
}

async function readJob(fleet: Fleet, jobId: string) {
  const url = `${fleet.instances[0]?.callersUrl}/v1/batches/${jobId}`;
  const headers = { authorization: `Bearer ${BATCH_CALLER_KEY}` };
  return (await fetchJson(url, { headers })).body;
}

function printTable(
  load: string,
  variants: readonly IVariant[],
  capacity: number,
): void {
  print(`\n## ${load}\n`);
  print(
    "| variant | batch tokens/s | items/s | of idle capacity | first p50 " +
      "| p95 | p99 | gap p50 | p95 | p99 | first p99 ratio | gap p99 ratio " +
      "| failed | instances' cores | runnable |",
  );
  print(`|${" --- |".repeat(15)}`);
  for (const { name, pairs } of variants) {
    const runs = pairs.get(load) ?? [];
    printRow(
      `without (${name})`,
      runs.map(({ withoutBatch }) => withoutBatch),
      capacity,
    );
    printRow(name, runs.map((pair) => pair.withBatch), capacity, [
      ratio(runs, ({ live }) => quantile(live.firstTokens, 0.99)),
      ratio(runs, ({ live }) => quantile(live.gaps, 0.99)),
    ]);
  }
}

/** Returns the median over rounds of the ratio with batch to without. */
function ratio(
  pairs: readonly IPhasePair[],
  read: (phase: IPhase) => number,
): number {
  return median(
    pairs.map((pair) => read(pair.withBatch) / read(pair.withoutBatch)),
  );
}

function printRow(
  name: string,
  runs: readonly IPhase[],
  capacity: number,
  ratios: readonly number[] = [],
): void {
  const medianOf = (read: (phase: IPhase) => number) => median(runs.map(read));
  const shares = [0.5, 0.95, 0.99];
  const cells = [
    name,
    medianOf(({ batchRate }) => batchRate).toFixed(0),
    medianOf(({ itemRate }) => itemRate).toFixed(1),
    `${
      (100 * medianOf((run) => run.batchRate / (capacity - run.liveRate)))
        .toFixed(1)
    } %`,
    ...shares.map((share) =>
      medianOf(({ live }) => quantile(live.firstTokens, share)).toFixed(1)
    ),
    ...shares.map((share) =>
      medianOf(({ live }) => quantile(live.gaps, share)).toFixed(1)
    ),
    ...[0, 1].map((index) => ratios[index]?.toFixed(2) ?? "-"),
    sum(runs.map(({ live }) => live.failures)),
    medianOf(({ cores }) => cores).toFixed(2),
    medianOf(({ runnableProcesses }) => runnableProcesses)
      .toFixed(1),
  ];
  print(`| ${cells.join(" | ")} |`);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
