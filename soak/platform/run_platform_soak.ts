import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { platformConfiguration } from "../../testing/platform_configuration.ts";
import { PlatformFleet, sendRequest } from "../../testing/platform_fleet.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { generateSchedule, type IScheduledFault } from "../faults.ts";
import { callersOf, checkCallers } from "./callers.ts";
import { runConfigurationLoad, runJobLoad, runStreamLoad } from "./loads.ts";
import {
  checkConfiguration,
  checkJobs,
  checkLimits,
  checkStrandings,
  checkStreams,
} from "./platform_checks.ts";
import {
  PLATFORM_FAULT_KINDS,
  type PlatformFaultKind,
  runPlatformFault,
} from "./platform_faults.ts";
import { PlatformRecord } from "./platform_record.ts";
import { SoakEngine } from "./soak_engine.ts";

/** Clients that send streams, per entry. */
const STREAM_CLIENTS = 2;

/** Clients that submit jobs. */
const JOB_CLIENTS = 2;

/** Longest wait for each step of the start of the fleet, in milliseconds. */
const START_TIMEOUT_MILLISECONDS = 60_000;

/** Interval between two probes of a starting fleet, in milliseconds. */
const START_PROBE_INTERVAL_MILLISECONDS = 100;

/** Time for which the load continues after the faults, in milliseconds. */
const POST_FAULT_LOAD_MILLISECONDS = 2_000;

/** Fleet size and duration of a soak. */
export interface IPlatformSoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly entries: number;
  readonly engines: number;
  /** Stores beyond the three that vote. */
  readonly spareStores?: number;
  /** Whether callers have keys, some of which are withdrawn. */
  readonly hasCallers?: boolean;
}

/** Result of a soak. */
export interface IPlatformSoakResult {
  readonly record: PlatformRecord;
  readonly schedule: readonly IScheduledFault<PlatformFaultKind>[];
  /** File with the logs of all processes; written only after violations. */
  readonly logs: string | undefined;
}

/** Runs load on the platform's roles under seeded faults and checks it. */
export async function runPlatformSoak(
  options: IPlatformSoakOptions,
): Promise<IPlatformSoakResult> {
  const { seed, seconds } = options;
  const random = new TestRandom(seed);
  const schedule = generateSchedule(
    random,
    seconds * 1_000,
    PLATFORM_FAULT_KINDS,
  );
  const record = new PlatformRecord();
  const engines = Array.from(
    { length: options.engines },
    (_, index) => new SoakEngine(index),
  );
  const fleet = new PlatformFleet(engines);
  const { hasCallers = false, spareStores = 0 } = options;
  const context = { fleet, record, random };
  try {
    await fleet.start(options.entries);
    await waitUntilServing(fleet, record, hasCallers);
    for (let added = 0; added < spareStores; added++) await fleet.addStore();
    const load = new AbortController();
    const { signal } = load;
    const tasks = startLoad(context, { seed, signal, hasCallers });
    const busyNames = new Set<string>();
    await Promise.all([
      announceLeaving(fleet, options),
      limitRequests(fleet, options),
      strandEntries(context, options),
      ...schedule.map(async (fault) => {
        await sleep(fault.startMilliseconds);
        await runPlatformFault({ fleet, record, busyNames }, fault);
      }),
    ]);
    await sleep(POST_FAULT_LOAD_MILLISECONDS);
    load.abort();
    await Promise.all(tasks);
    await checkJobs(context);
    checkStreams(context);
    checkLimits(context);
    checkStrandings(context);
    if (hasCallers) checkCallers(context);
    await checkConfiguration(context);
  } catch (error) {
    record.addViolation((error as Error).stack ?? String(error));
  } finally {
    await fleet.stop();
  }
  const isClean = record.violations.length === 0;
  const logs = isClean ? undefined : await writeLogs(fleet.logs);
  return { record, schedule, logs };
}

/**
 * Makes the last engine announce that it leaves, while the list goes on calling
 * it ready. It has its own random numbers, so that schedules stay the same.
 */
async function announceLeaving(
  fleet: PlatformFleet<SoakEngine>,
  { seed, seconds }: IPlatformSoakOptions,
): Promise<void> {
  const latest = Math.round(seconds * 1_000 / 2);
  await sleep(new TestRandom(seed).integer(0, latest));
  const engine = fleet.engines.at(-1);
  if (engine) engine.isLeaving = true;
}

/** Makes the first engine limit its requests for a part of the soak. */
async function limitRequests(
  fleet: PlatformFleet<SoakEngine>,
  { seed, seconds }: IPlatformSoakOptions,
): Promise<void> {
  const [engine] = fleet.engines;
  if (!engine) return;
  const latest = Math.round(seconds * 1_000 / 6);
  await sleep(new TestRandom(seed).integer(0, latest));
  engine.limitedSince = Date.now();
  await sleep(seconds * 1_000 * 2 / 3);
  engine.limitedSince = undefined;
}

/** Cuts some entries off from all engines, one third of the entries or more. */
async function strandEntries(
  { fleet, record }: {
    fleet: PlatformFleet<SoakEngine>;
    record: PlatformRecord;
  },
  { seed, seconds }: IPlatformSoakOptions,
): Promise<void> {
  const random = new TestRandom(seed);
  await sleep(random.integer(0, Math.round(seconds * 1_000 / 6)));
  const startedAt = Date.now();
  const first = random.integer(0, fleet.entries.length - 1);
  const count = random.integer(
    Math.ceil(fleet.entries.length / 3),
    Math.ceil(fleet.entries.length / 2),
  );
  const stranded = Array.from(
    { length: count },
    (_, index) => (first + index) % fleet.entries.length,
  );
  const kind = random.pick(["silent", "reset", "refuse"] as const);
  for (const entry of stranded) fleet.setLinkFault(entry, kind);
  const absentEntries = fleet.entries
    .filter(({ child }) => !child.connected)
    .map(({ name }) => name);
  await sleep(seconds * 1_000 * 2 / 3);
  for (const entry of stranded) fleet.setLinkFault(entry, undefined);
  record.stranding = {
    entries: stranded.map((entry) => fleet.entries[entry]!.name),
    absentEntries,
    startedAt,
    endedAt: Date.now(),
  };
}

function startLoad(
  context: { fleet: PlatformFleet<SoakEngine>; record: PlatformRecord },
  options: { seed: number; signal: AbortSignal; hasCallers: boolean },
): Promise<void>[] {
  const { seed, signal, hasCallers } = options;
  let taskCount = 0;
  // Each task has its own random numbers, so that its choices do not depend on
  // the timing of other tasks.
  const createTask = (name: string) => ({
    ...context,
    name: `${name}-${taskCount}`,
    random: new TestRandom(seed * 1_000 + ++taskCount),
    ...{ signal, hasCallers },
  });
  const streams = STREAM_CLIENTS * context.fleet.entries.length;
  return [
    ...Array.from(
      { length: streams },
      () => runStreamLoad(createTask("stream")),
    ),
    ...Array.from({ length: JOB_CLIENTS }, () => runJobLoad(createTask("job"))),
    runConfigurationLoad(createTask("operator")),
  ];
}

/** Sends the first configuration and waits until all entries are ready. */
async function waitUntilServing(
  fleet: PlatformFleet<SoakEngine>,
  record: PlatformRecord,
  hasCallers: boolean,
): Promise<void> {
  const tenants = hasCallers ? callersOf(1) : undefined;
  const source = platformConfiguration(1, { tenants });
  record.configurations.push({ version: 1, source, isAcknowledged: true });
  const message = { method: "PUT", path: "/figroad/config", body: source };
  await retryUntilOk(
    "the first configuration to be acknowledged",
    () => sendRequest(fleet.control(0), message),
  );
  for (const index of fleet.entries.keys()) {
    const ready = { method: "GET", path: "/figroad/ready" };
    await retryUntilOk(
      `entry ${index} to be ready`,
      () => sendRequest(fleet.ready(index), ready),
    );
  }
}

async function retryUntilOk(
  description: string,
  sendOnce: () => Promise<{ status: number }>,
): Promise<void> {
  const deadline = Date.now() + START_TIMEOUT_MILLISECONDS;
  while (Date.now() < deadline) {
    const answer = await sendOnce().catch(() => undefined);
    if (answer?.status === 200) return;
    await sleep(START_PROBE_INTERVAL_MILLISECONDS);
  }
  throw new Error(`timed out waiting for ${description}`);
}

async function writeLogs(logs: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "figroad-soak-logs-"));
  const path = join(folder, "day.log");
  await writeFile(path, logs);
  return path;
}
