// Batch throughput and the harm it does to live requests, by policy.
import { readFile } from "node:fs/promises";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { COMMITTEE_KEY, Fleet, kill } from "../testing/fleet.ts";
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
const ITEMS = 8_000;
const ITEM_TOKENS = 64;

const ENGINE_OPTIONS = {
  maximumStreams: 16,
  stepMilliseconds: 20,
  perStreamMilliseconds: 0.1,
  perPrefillWordMilliseconds: 0.02,
};

/** Engines whose steps grow steeply with their streams. */
const STEEP_ENGINE_OPTIONS = { ...ENGINE_OPTIONS, perStreamMilliseconds: 0.6 };

/** Length of a phase, in milliseconds. */
const PHASE_MILLISECONDS = 3_000;

/**
 * Processes that want a processor, on average over a phase, above which
 * something else disturbs the machine and the phase is run again.
 */
const DISTURBED_PROCESSES = 7;

/** Repetitions of a disturbed phase. */
const MAXIMUM_REPETITIONS = 1;

/** How often the processes that want a processor are counted. */
const COUNT_INTERVAL_MILLISECONDS = 20;

/** Wait until owners are known and batch runs, in milliseconds. */
const WARM_UP_MILLISECONDS = 5_500;

/** Pause of an engine in the phase with faults, in milliseconds. */
const FREEZE_MILLISECONDS = 700;

const STEADY: ILivePattern = {
  requestsPerSecond: 36,
  burstRequests: 0,
  burstInterval: 2_000,
  burstWidth: 150,
};
const BURSTS: ILivePattern = { ...STEADY, burstRequests: 48 };

const VARIANTS = [
  "none",
  "unlimited",
  "fixed-share",
  "spare-slots",
  "learned",
  "concentrating",
];

interface IPhase {
  readonly live: ILiveSample;
  /** Batch tokens a second that engines generated. */
  readonly batchRate: number;
  readonly liveRate: number;
  /** Batch items a second whose results were recorded. */
  readonly itemRate: number;
  /** Processor time of all instances, in cores. */
  readonly cores: number;
  /** Processes on the whole machine that wanted a processor, on average. */
  readonly busy: number;
}

interface IVariant {
  readonly name: string;
  readonly calibration: number;
  readonly phases: Map<string, IPhase[]>;
}

/**
 * Runs every variant, or those named, and prints one table for each load. The
 * word `steep` takes engines that slow down more with each stream.
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
  const full = ENGINES * maximumStreams * 1_000 /
    (stepMilliseconds + perStreamMilliseconds * maximumStreams);
  const measured = Math.max(...variants.map(({ calibration }) => calibration));
  print(`capacity by the engines' parameters: ${full.toFixed(0)} tokens/s`);
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
      if (name !== "none") settings.batch = { limitPolicy: name };
    },
  });
  try {
    return await runPhases(name, fleet);
  } finally {
    await fleet.stop();
  }
}

async function runPhases(name: string, fleet: Fleet): Promise<IVariant> {
  const jobId = name === "none" ? undefined : await submitJob(fleet);
  await sleep(jobId ? WARM_UP_MILLISECONDS : 0);
  const clients = new LiveClients(fleet, SEED);
  const idle = { ...STEADY, requestsPerSecond: 0.001 };
  const alone = jobId
    ? await runQuietPhase(fleet, { clients, jobId, load: idle })
    : undefined;
  const phases = new Map<string, IPhase[]>();
  const add = (load: string, phase: IPhase) =>
    phases.set(load, [...phases.get(load) ?? [], phase]);
  for (let round = 0; round < ROUNDS; round++) {
    for (
      const [key, load] of Object.entries({ steady: STEADY, bursts: BURSTS })
    ) {
      add(key, await runQuietPhase(fleet, { clients, jobId, load }));
    }
  }
  const faults = runFaults(fleet);
  add("faults", await runPhase(fleet, { clients, jobId, load: BURSTS }));
  await faults;
  return { name, calibration: alone?.batchRate ?? 0, phases };
}

interface IPhaseOptions {
  readonly clients: LiveClients;
  readonly jobId: string | undefined;
  readonly load: ILivePattern;
}

/** Runs a phase, again when the machine was disturbed meanwhile. */
async function runQuietPhase(
  fleet: Fleet,
  options: IPhaseOptions,
): Promise<IPhase> {
  let best = await runPhase(fleet, options);
  for (let count = 0; count < MAXIMUM_REPETITIONS; count++) {
    if (best.busy <= DISTURBED_PROCESSES) break;
    print(`  run again: ${best.busy.toFixed(1)} processes wanted a processor`);
    const phase = await runPhase(fleet, options);
    if (phase.busy < best.busy) best = phase;
  }
  return best;
}

async function runPhase(
  fleet: Fleet,
  options: IPhaseOptions,
): Promise<IPhase> {
  const { clients, jobId, load } = options;
  const before = await readCounts(fleet, jobId);
  const counting = countBusy(PHASE_MILLISECONDS);
  const live = await clients.run(load, PHASE_MILLISECONDS);
  const tokens = live.tokens;
  const after = await readCounts(fleet, jobId);
  const busy = await counting;
  await clients.settle();
  const seconds = (after.at - before.at) / 1_000;
  const generated = after.tokens - before.tokens;
  return {
    live,
    batchRate: jobId ? (generated - tokens) / seconds : 0,
    liveRate: tokens / seconds,
    itemRate: (after.items - before.items) / seconds,
    cores: processorOf(before.usage, after.usage) / seconds / 1_000,
    busy,
  };
}

/** Average of the kernel's count of processes that can run now. */
async function countBusy(milliseconds: number): Promise<number> {
  const counts: number[] = [];
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    const text = await readFile("/proc/loadavg", "utf8");
    counts.push(Number(/ (\d+)\//.exec(text)?.[1] ?? 0));
    await sleep(COUNT_INTERVAL_MILLISECONDS);
  }
  return sum(counts) / counts.length;
}

/** Kills an instance without a disk and freezes an engine. */
async function runFaults(fleet: Fleet): Promise<void> {
  await sleep(700);
  const [engine] = fleet.engines;
  await postJson(`${engine?.url}/standin/faults`, {
    freezeMilliseconds: FREEZE_MILLISECONDS,
  });
  await sleep(500);
  const instance = fleet.instances.at(-1);
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

/** Processor time of the instances that live, in milliseconds. */
function processorOf(
  before: Map<string, number>,
  after: Map<string, number>,
): number {
  return sum(
    [...after].map(([id, used]) => used - (before.get(id) ?? used)),
  );
}

async function submitJob(fleet: Fleet): Promise<string> {
  const authorization = `Bearer ${COMMITTEE_KEY}`;
  const url = fleet.instances[0]?.callers ?? "";
  const lines = Array.from({ length: ITEMS }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      body: { prompt: `rationing report ${index}`, max_tokens: ITEM_TOKENS },
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
  const url = `${fleet.instances[0]?.callers}/v1/batches/${jobId}`;
  const headers = { authorization: `Bearer ${COMMITTEE_KEY}` };
  return (await fetchJson(url, { headers })).body;
}

function printTable(
  load: string,
  variants: readonly IVariant[],
  capacity: number,
): void {
  print(`\n## ${load}\n`);
  print(
    "| variant | batch tokens/s | items/s | of idle | first p50 | p95 | p99 " +
      "| gap p50 | p95 | p99 | first p99 ratio | gap p99 ratio | failed " +
      "| instances' cores | busy |",
  );
  print(`|${" --- |".repeat(15)}`);
  const base = variants.find(({ name }) => name === "none")?.phases.get(load);
  for (const { name, phases } of variants) {
    const runs = phases.get(load) ?? [];
    const of = (read: (phase: IPhase) => number) => median(runs.map(read));
    const first = (share: number, from = runs) =>
      median(from.map(({ live }) => quantile(live.firstTokens, share)));
    const gap = (share: number, from = runs) =>
      median(from.map(({ live }) => quantile(live.gaps, share)));
    const used = of(({ batchRate, liveRate }) =>
      batchRate / (capacity - liveRate)
    );
    const cells = [
      name,
      of(({ batchRate }) => batchRate).toFixed(0),
      of(({ itemRate }) => itemRate).toFixed(1),
      `${(used * 100).toFixed(1)} %`,
      ...[0.5, 0.95, 0.99].map((share) => first(share).toFixed(1)),
      ...[0.5, 0.95, 0.99].map((share) => gap(share).toFixed(1)),
      base ? (first(0.99) / first(0.99, base)).toFixed(2) : "-",
      base ? (gap(0.99) / gap(0.99, base)).toFixed(2) : "-",
      sum(runs.map(({ live }) => live.failures)),
      of(({ cores }) => cores).toFixed(2),
      of(({ busy }) => busy).toFixed(1),
    ];
    print(`| ${cells.join(" | ")} |`);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
