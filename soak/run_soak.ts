import { setTimeout as sleep } from "node:timers/promises";
import { TestRandom } from "../testing/test_random.ts";
import { runBatchJobs } from "./batch_load.ts";
import {
  checkChanges,
  checkJobs,
  checkPlannedStops,
  checkRequests,
  sumEngineCounts,
} from "./checks.ts";
import {
  FAULT_KINDS,
  generateSchedule,
  type IScheduledFault,
  runFaults,
} from "./faults.ts";
import { runCaller } from "./live_load.ts";
import { runOperators, watchVersions } from "./operator_load.ts";
import { SoakRecord } from "./soak_record.ts";
import { SoakFleet } from "./soak_fleet.ts";

const CALLER_COUNT = 6;
const SUBMITTER_COUNT = 2;

/** Delay between the end of the faults and the checks, in milliseconds. */
const SETTLE_DELAY_MILLISECONDS = 1_000;

/** Fleet size and duration of a soak. */
export interface ISoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly voters: number;
  readonly engines: number;
  /** Called at each step with a line to print. */
  readonly onProgress?: (line: string) => void;
}

/** Result of a soak. */
export interface ISoakResult {
  readonly record: SoakRecord;
  readonly schedule: readonly IScheduledFault[];
  /** Folder with the daemons' logs; kept if there are violations. */
  readonly folder: string;
}

/** Runs mixed load under a seeded schedule of faults and checks the results. */
export async function runSoak(options: ISoakOptions): Promise<ISoakResult> {
  const random = new TestRandom(options.seed);
  const schedule = generateSchedule(
    random,
    options.seconds * 1_000,
    FAULT_KINDS,
  );
  const record = new SoakRecord();
  const soakFleet = await SoakFleet.start(options);
  const { fleet, plain } = soakFleet;
  const print = options.onProgress ?? (() => {});
  let isClean = false;
  try {
    const load = new AbortController();
    const watch = new AbortController();
    const watching = watchVersions(fleet, record, { signal: watch.signal });
    const tasks = startLoad(soakFleet, record, { seed: options.seed, load });
    print(`load started, ${schedule.length} faults scheduled`);
    await Promise.all([
      runFaults(soakFleet, record, schedule),
      sleep(options.seconds * 1_000),
    ]);
    print("faults have ended; waiting for the load to finish");
    load.abort();
    await Promise.all(tasks);
    for (const { id } of fleet.crashed()) record.addViolation(`${id} crashed`);
    await fleet.waitUntilReady();
    await sleep(SETTLE_DELAY_MILLISECONDS);
    print("checking the results");
    const readCounts = () =>
      sumEngineCounts(soakFleet.engines.map(({ standin }) => standin));
    await checkJobs(fleet, record, readCounts);
    checkRequests(record, readCounts(), plain);
    checkPlannedStops(record);
    await checkChanges(fleet, record);
    watch.abort();
    await watching;
    isClean = record.violations.length === 0;
  } catch (error) {
    record.addViolation(String(error));
  } finally {
    await soakFleet.stop({ keepFiles: !isClean });
  }
  return { record, schedule, folder: fleet.folder };
}

function startLoad(
  soakFleet: SoakFleet,
  record: SoakRecord,
  options: { seed: number; load: AbortController },
): Promise<void>[] {
  const { signal } = options.load;
  // Each task has its own random numbers, so that its choices do not depend on
  // the timing of other tasks.
  const createRandom = (task: number) =>
    new TestRandom(options.seed * 100 + task);
  const tasks: Promise<void>[] = [];
  for (let index = 0; index < CALLER_COUNT; index++) {
    const random = createRandom(index + 1);
    const name = `caller-${index}`;
    tasks.push(runCaller(soakFleet.fleet, record, { name, random, signal }));
  }
  for (let index = 0; index < SUBMITTER_COUNT; index++) {
    const random = createRandom(CALLER_COUNT + index + 1);
    const name = `submitter-${index}`;
    tasks.push(runBatchJobs(soakFleet.fleet, record, { name, random, signal }));
  }
  const random = createRandom(0);
  tasks.push(runOperators(soakFleet.fleet, record, { random, signal }));
  return tasks;
}
