import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet, IMachine } from "../fleet_2.ts";
import { configuration, createJob, submit } from "../jobs_2.ts";
import { Recorder } from "../recorder_2.ts";
import { RESTART_MILLISECONDS, Restarter } from "../restarter_2.ts";
import { runCase } from "../run_case_2.ts";
import { createSoundEngine, listEngines } from "../sound_engine_2.ts";

/** Jobs whose log entries together exceed one message to a follower. */
const FIRST_JOBS = 5;
const FIRST_BODY_BYTES = 200_000;

/** Body of a small item and of one that is sent as a large message. */
const SMALL_BODY_BYTES = 1_000;
const LARGE_BODY_BYTES = 27_000;

const FREEZE_MILLISECONDS = 3_600;

/** Time before the end of a freeze at which the platform stops the store. */
const STOP_MILLISECONDS = 300;

/** Time after a freeze in which its store still counts as lost. */
const CATCH_UP_MILLISECONDS = 4_900;

/** Time after which no further cycle begins. */
const CYCLES_MILLISECONDS = 98_000;

/** Own ends of the processes of a machine, on two machines, that break Fault. */
const ENDS = 3;
const MACHINES = 2;

const folder = process.argv[2] ?? ".";
const hasTrouble = process.env.TROUBLE !== "0";
const recorder = new Recorder(`${folder}/record.txt`);
let nextJob = 1;

async function run(fleet: Fleet): Promise<boolean> {
  await fleet.start({ stores: 3, entries: 2 });
  const options = { events: 20, pauseMilliseconds: 10 };
  const engines = ["i-0001", "i-0002"].map((id) =>
    createSoundEngine(id, recorder, options)
  );
  await listEngines(fleet, engines);
  await fleet.configure(configuration(5));
  await fleet.waitUntilReady();
  await sleep(1_500);
  for (let count = 0; count < FIRST_JOBS; count++) {
    await accept(fleet, FIRST_BODY_BYTES);
  }
  const restarter = new Restarter(fleet);
  for (let cycle = 1; performance.now() < CYCLES_MILLISECONDS; cycle++) {
    await playCycle(fleet, cycle);
    if (isBroken(fleet)) break;
  }
  restarter.stop();
  for (const { name, unexpectedEnds } of fleet.stores) {
    recorder.write(
      `${name} ended by itself ${unexpectedEnds.length} times: ` +
        unexpectedEnds.join(", "),
    );
  }
  for (const line of fleet.logs.split("\n")) {
    if (/replica-failed|role-failed/.test(line)) recorder.write(`log: ${line}`);
  }
  for (const engine of engines) engine.close();
  return isBroken(fleet);
}

function isBroken(fleet: Fleet): boolean {
  const often = fleet.stores.filter(({ unexpectedEnds }) =>
    unexpectedEnds.length >= ENDS
  );
  return often.length >= MACHINES;
}

/** A store freezes; the platform stops it, and it wakes and obeys. */
async function playCycle(fleet: Fleet, cycle: number): Promise<void> {
  await accept(fleet, LARGE_BODY_BYTES);
  await sleep(700);
  const leader = fleet.stores[fleet.leaderIndex()];
  const frozen = chooseFollower(fleet, leader);
  recorder.write(`cycle ${cycle}: ${leader?.name} leads`);
  if (!hasTrouble) {
    await accept(fleet, SMALL_BODY_BYTES);
    await accept(fleet, LARGE_BODY_BYTES);
    await sleep(FREEZE_MILLISECONDS + CATCH_UP_MILLISECONDS);
    return;
  }
  const wakesAt = performance.now() + FREEZE_MILLISECONDS;
  fleet.signal(frozen, "SIGSTOP");
  await accept(fleet, SMALL_BODY_BYTES);
  await sleep(1_000);
  await accept(fleet, LARGE_BODY_BYTES);
  await sleep(wakesAt - STOP_MILLISECONDS - performance.now());
  fleet.signal(frozen, "SIGTERM");
  await sleep(wakesAt - performance.now());
  fleet.signal(frozen, "SIGCONT");
  await fleet.waitUntilEnded(frozen);
  await sleep(RESTART_MILLISECONDS);
  await fleet.restart(frozen);
  await sleep(CATCH_UP_MILLISECONDS);
}

/** The follower with the fewest own ends that does not lead. */
function chooseFollower(fleet: Fleet, leader: IMachine | undefined): IMachine {
  return fleet.stores.filter((store) => store !== leader)
    .sort((one, other) =>
      one.unexpectedEnds.length - other.unexpectedEnds.length
    )[0]!;
}

async function accept(fleet: Fleet, bodyBytes: number): Promise<void> {
  const job = createJob(nextJob++, { items: 1, bodyBytes });
  if (!await submit(fleet, recorder, job)) {
    throw new Error("a job was not accepted");
  }
}

await runCase(recorder, run);
