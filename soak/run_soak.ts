import { setTimeout as sleep } from "node:timers/promises";
import { TestRandom } from "../testing/test_random.ts";
import { runJobs } from "./batch_load.ts";
import {
  checkChanges,
  checkJobs,
  checkPlannedStops,
  checkRequests,
  readEngineCounts,
} from "./checks.ts";
import {
  drawSchedule,
  FAULT_KINDS,
  type IScheduledFault,
  runFaults,
} from "./faults.ts";
import { runCaller } from "./live_load.ts";
import { runOperators, watchVersions } from "./operator_load.ts";
import { SoakRecord } from "./record.ts";
import { SoakFleet } from "./soak_fleet.ts";

const CALLERS = 6;
const SUBMITTERS = 2;

/** Pause after the faults before work is checked, in milliseconds. */
const SETTLE_MILLISECONDS = 1_000;

/** Size and length of a soak. */
export interface ISoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly voters: number;
  readonly engines: number;
  /** Told of each step, for printing. */
  readonly onProgress?: (line: string) => void;
}

/** What a soak found. */
export interface ISoakResult {
  readonly record: SoakRecord;
  readonly schedule: readonly IScheduledFault[];
  /** Folder with the daemons' logs; kept when a line is broken. */
  readonly folder: string;
}

/** Runs mixed load under a seeded schedule of faults and checks it. */
export async function runSoak(options: ISoakOptions): Promise<ISoakResult> {
  const random = new TestRandom(options.seed);
  const schedule = drawSchedule(random, options.seconds * 1_000, FAULT_KINDS);
  const record = new SoakRecord();
  const soak = await SoakFleet.start(options);
  const { fleet, plain } = soak;
  const print = options.onProgress ?? (() => {});
  let isClean = false;
  try {
    const load = new AbortController();
    const watch = new AbortController();
    const watching = watchVersions(fleet, record, { signal: watch.signal });
    const tasks = startLoad(soak, record, { seed: options.seed, load });
    print(`load runs, ${schedule.length} faults are scheduled`);
    await Promise.all([
      runFaults(soak, record, schedule),
      sleep(options.seconds * 1_000),
    ]);
    print("faults have ended; waiting for the load to finish");
    load.abort();
    await Promise.all(tasks);
    for (const { id } of fleet.crashed()) record.violate(`${id} crashed`);
    await fleet.waitUntilReady();
    await sleep(SETTLE_MILLISECONDS);
    print("checking");
    const counts = () =>
      readEngineCounts(soak.engines.map(({ standin }) => standin));
    await checkJobs(fleet, record, counts);
    checkRequests(record, counts(), plain);
    checkPlannedStops(record);
    await checkChanges(fleet, record);
    watch.abort();
    await watching;
    isClean = record.violations.length === 0;
  } catch (error) {
    record.violate(String(error));
  } finally {
    await soak.stop({ keepFiles: !isClean });
  }
  return { record, schedule, folder: fleet.folder };
}

function startLoad(
  soak: SoakFleet,
  record: SoakRecord,
  options: { seed: number; load: AbortController },
): Promise<void>[] {
  const { signal } = options.load;
  // Every task draws from its own seed, so that none disturbs another.
  const seeded = (task: number) => new TestRandom(options.seed * 100 + task);
  const tasks: Promise<void>[] = [];
  for (let index = 0; index < CALLERS; index++) {
    const random = seeded(index + 1);
    const name = `caller-${index}`;
    tasks.push(runCaller(soak.fleet, record, { name, random, signal }));
  }
  for (let index = 0; index < SUBMITTERS; index++) {
    const random = seeded(CALLERS + index + 1);
    const name = `submitter-${index}`;
    tasks.push(runJobs(soak.fleet, record, { name, random, signal }));
  }
  const random = seeded(0);
  tasks.push(runOperators(soak.fleet, record, { random, signal }));
  return tasks;
}
