import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { platformConfiguration } from "../../testing/platform_configuration.ts";
import { PlatformFleet, sendRequest } from "../../testing/platform_fleet.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { drawSchedule, type IScheduledFault } from "../faults.ts";
import { runJobLoad, runOrders, runStreams } from "./loads.ts";
import { checkOrders, checkSoakJobs, checkStreams } from "./platform_checks.ts";
import {
  PLATFORM_FAULT_KINDS,
  type PlatformFaultKind,
  runPlatformFault,
} from "./platform_faults.ts";
import { PlatformRecord } from "./platform_record.ts";
import { SoakEngine } from "./soak_engine.ts";

/** Clients that send streams, for each entry. */
const STREAM_CLIENTS = 2;

/** Clients that submit jobs. */
const JOB_CLIENTS = 2;

/** Longest wait for the fleet to serve, in milliseconds. */
const START_MILLISECONDS = 60_000;

/** Pause between two looks at a starting fleet, in milliseconds. */
const START_PAUSE_MILLISECONDS = 100;

/** Time for which the load goes on after the last fault, in ms. */
const CALM_MILLISECONDS = 2_000;

/** Size and length of a soak. */
export interface IPlatformSoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly entries: number;
  readonly engines: number;
}

/** What a soak found. */
export interface IPlatformSoakResult {
  readonly record: PlatformRecord;
  readonly schedule: readonly IScheduledFault<PlatformFaultKind>[];
  /** File with the log lines of all processes, if a promise is broken. */
  readonly logs: string | undefined;
}

/** Runs the platform's roles under a seeded schedule of faults. */
export async function runPlatformSoak(
  options: IPlatformSoakOptions,
): Promise<IPlatformSoakResult> {
  const { seed, seconds } = options;
  const random = new TestRandom(seed);
  const schedule = drawSchedule(random, seconds * 1_000, PLATFORM_FAULT_KINDS);
  const record = new PlatformRecord();
  const engines = Array.from(
    { length: options.engines },
    (_, index) => new SoakEngine(`i-${index}`),
  );
  const fleet = new PlatformFleet(engines);
  const parts = { fleet, record, random };
  try {
    await fleet.start(options.entries);
    await untilServing(fleet, record);
    const load = new AbortController();
    const tasks = startLoad(parts, { seed, signal: load.signal });
    const busy = new Set<string>();
    await Promise.all(schedule.map(async (fault) => {
      await sleep(fault.at);
      await runPlatformFault({ fleet, record, busy }, fault);
    }));
    await sleep(CALM_MILLISECONDS);
    load.abort();
    await Promise.all(tasks);
    await checkSoakJobs(parts);
    checkStreams(parts);
    await checkOrders(parts);
  } catch (error) {
    record.violate((error as Error).stack ?? String(error));
  } finally {
    await fleet.stop();
  }
  const isClean = record.violations.length === 0;
  const logs = isClean ? undefined : await keepLogs(fleet.logs);
  return { record, schedule, logs };
}

function startLoad(
  parts: { fleet: PlatformFleet<SoakEngine>; record: PlatformRecord },
  options: { seed: number; signal: AbortSignal },
): Promise<void>[] {
  const { seed, signal } = options;
  let tasks = 0;
  // Every task draws from its own seed, so that none disturbs another.
  const task = (name: string) => ({
    ...parts,
    name: `${name}-${tasks}`,
    random: new TestRandom(seed * 1_000 + ++tasks),
    signal,
  });
  const streams = STREAM_CLIENTS * parts.fleet.entries.length;
  return [
    ...Array.from({ length: streams }, () => runStreams(task("stream"))),
    ...Array.from({ length: JOB_CLIENTS }, () => runJobLoad(task("job"))),
    runOrders(task("operator")),
  ];
}

/** Sends the first configuration and waits until all entries serve it. */
async function untilServing(
  fleet: PlatformFleet<SoakEngine>,
  record: PlatformRecord,
): Promise<void> {
  const source = platformConfiguration(1, {});
  record.orders.push({ version: 1, source, isAcknowledged: true });
  const message = { method: "PUT", path: "/figroad/config", body: source };
  await until("a configuration", () => sendRequest(fleet.control(0), message));
  for (const index of fleet.entries.keys()) {
    const ready = { method: "GET", path: "/figroad/ready" };
    await until(`entry ${index}`, () => sendRequest(fleet.ready(index), ready));
  }
}

async function until(
  what: string,
  sendOnce: () => Promise<{ status: number }>,
): Promise<void> {
  const deadline = Date.now() + START_MILLISECONDS;
  while (Date.now() < deadline) {
    const answer = await sendOnce().catch(() => undefined);
    if (answer?.status === 200) return;
    await sleep(START_PAUSE_MILLISECONDS);
  }
  throw new Error(`${what} did not come in time`);
}

async function keepLogs(logs: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "figroad-soak-logs-"));
  const path = join(folder, "day.log");
  await writeFile(path, logs);
  return path;
}
