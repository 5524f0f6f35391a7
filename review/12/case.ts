import process from "node:process";
import {
  type CaseRecord,
  Deployment,
  type IItemResult,
  runCase,
} from "../deployment_3.ts";
import { BOUNDS, type IMachine } from "../fleet_3.ts";
import { sleep } from "../http_3.ts";

/**
 * Disruptions: 1 for both, 0 for none; `replace` and `wipe` for one of them,
 * which shows that the system bears each alone.
 */
const TROUBLE = process.env["TROUBLE"] ?? "1";
const REPLACES = TROUBLE === "1" || TROUBLE === "replace";
const WIPES = TROUBLE === "1" || TROUBLE === "wipe";

/** Time that the successor has before the old store leaves. */
const CATCH_UP_MILLISECONDS = (BOUNDS["catch-up-s"] + 1.1) * 1_000;

/** Time after which the settings of all machines name the successor. */
const SEED_LAG_MILLISECONDS = BOUNDS["seed-lag-s"] * 1_000;

/** Time from the end of the old store until the next change. */
const CHANGE_DELAY_MILLISECONDS = 1_000;

/** Time for which the store that lost its disk is down. */
const DOWN_MILLISECONDS = 2_000;

/** Time for reading back, several times the limit for the recovery. */
const READ_BACK_MILLISECONDS = 45_000;

const JOB = "7c41e09b52d6a3f8";
const ITEMS = 10;

/** Version that is acknowledged right before the disk is lost. */
const VERSION = 2;

async function run(record: CaseRecord): Promise<string[]> {
  const deployment = await Deployment.start(record, {
    ...{ entries: 2, engines: 2 },
    engine: { slots: 8, events: 20, milliseconds: 20 },
  });
  try {
    return await play(deployment, record);
  } finally {
    await deployment.dispose();
  }
}

async function play(
  deployment: Deployment,
  record: CaseRecord,
): Promise<string[]> {
  const { fleet } = deployment;
  const [first] = fleet.stores();
  if (!first) throw new Error("there is no store");
  await deployment.submitJob(JOB, { items: ITEMS, milliseconds: 10_000 });
  const results = await deployment.waitForJob(JOB, 20_000);
  const removed = await replaceThirdStore(deployment, record);
  await sleep(CHANGE_DELAY_MILLISECONDS);
  const acknowledger = await deployment.putConfiguration(VERSION, {
    milliseconds: 4_000,
    stores: [first],
  });
  if (WIPES) {
    await fleet.end(acknowledger, "SIGKILL");
    await fleet.wipe(acknowledger);
    record.write(`${acknowledger.name} has lost its disk and is down`);
    await sleep(DOWN_MILLISECONDS);
    fleet.start(acknowledger);
    record.write(`${acknowledger.name} is back with an empty disk`);
  }
  const stores = fleet.stores().filter((store) => store !== removed);
  return await readBack(deployment, { results, stores });
}

/** Replaces the third store: the new one first, then SIGTERM to the old one. */
async function replaceThirdStore(
  { fleet }: Deployment,
  record: CaseRecord,
): Promise<IMachine | undefined> {
  const third = fleet.stores()[2];
  if (!third || !REPLACES) {
    await sleep(CATCH_UP_MILLISECONDS);
    return undefined;
  }
  const successor = await fleet.add("store");
  record.write(`${successor.name} has started, to replace ${third.name}`);
  await sleep(CATCH_UP_MILLISECONDS);
  await fleet.end(third, "SIGTERM");
  record.write(`${third.name} has stopped on SIGTERM and is removed`);
  setTimeout(() => {
    const stores = fleet.stores().filter((store) => store !== third);
    fleet.changeSeeds(stores).catch((error) =>
      record.write(`the settings were not changed: ${error}`)
    );
  }, SEED_LAG_MILLISECONDS);
  return third;
}

/** Reads what was acknowledged until it comes or the time is over. */
async function readBack(
  deployment: Deployment,
  known: { results: readonly IItemResult[]; stores: readonly IMachine[] },
): Promise<string[]> {
  const entries = deployment.fleet.entries();
  const end = performance.now() + READ_BACK_MILLISECONDS;
  let hasVersion = false;
  let hasJob = false;
  for (let turn = 0; performance.now() < end; turn++) {
    const store = known.stores[turn % known.stores.length]!;
    const entry = entries[turn % entries.length]!;
    hasVersion ||= await deployment.readVersion(store) === VERSION;
    const job = hasJob || await deployment.readJob(JOB, entry);
    hasJob = job === true ||
      JSON.stringify(job && job.results) === JSON.stringify(known.results);
    if (hasVersion && hasJob) return [];
    await sleep(500);
  }
  const seconds = READ_BACK_MILLISECONDS / 1_000;
  return [
    ...hasVersion
      ? []
      : [`LOST: the acknowledged configuration did not come in ${seconds} s`],
    ...hasJob
      ? []
      : [`LOST: the batch job that had been read did not in ${seconds} s`],
  ];
}

await runCase(process.argv[2] ?? "record.txt", run);
