import { readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerBytes,
  chunk,
  type IEngineRequest,
  RawEngine,
  streamHead,
} from "../engine_2.ts";
import type { Fleet, IMachine } from "../fleet_2.ts";
import { call } from "../http_call_2.ts";
import {
  configuration,
  createJob,
  HOST,
  readResults,
  submit,
} from "../jobs_2.ts";
import { Recorder } from "../recorder_2.ts";
import { RESTART_MILLISECONDS, Restarter } from "../restarter_2.ts";
import { runCase } from "../run_case_2.ts";
import { listEngines } from "../sound_engine_2.ts";

/** Length from which a store starts a new file of its log. */
const SEGMENT_BYTES = 4 * 1024 * 1024;

/**
 * Space that is left in a file before the job of a round is submitted: more
 * than that job takes, and less than it and one of its results take.
 */
const ROOM_BYTES = { least: 22_000, most: 55_000 };

/** Items of a round, whose results are longer than the room together. */
const ITEMS = 12;
const EVENTS = 120;
const EVENT_BYTES = 500;
const STAGGER_MILLISECONDS = 15;

/**
 * Longest time between the kill of the followers and that of the leader, which
 * is killed as soon as its log goes on in another file.
 */
const SPREAD_MILLISECONDS = 600;
const CHECK_MILLISECONDS = 10;
/**
 * Time for which the last store stays down, as one without power does: until
 * the others have elected a leader, within these bounds.
 */
const DARK_MILLISECONDS = { least: 2_000, most: 4_500 };

/** Time after which a store that is back no longer counts as lost. */
const CATCH_UP_MILLISECONDS = 4_900;

/** Entries and bytes after which stores remove old files of the log. */
const SMALL_JOBS = 320;
const LARGE_JOBS = 30;
const LARGE_BODY_BYTES = 260_000;

const RECOVERY_MILLISECONDS = 12_000;
const READ_MILLISECONDS = 20_000;

const folder = process.argv[2] ?? ".";
const hasTrouble = process.env.TROUBLE !== "0";
/** Without it, only the final fault is played. */
const hasKills = hasTrouble && process.env.KILLS !== "0";
const recorder = new Recorder(`${folder}/record.txt`);
let nextJob = 1;
const acceptedJobs: string[] = [];

/** Requests of items that wait for their first event. */
let held: IEngineRequest[] = [];
let isGateOpen = true;

function createEngine(id: string): RawEngine {
  return new RawEngine(id, (request) => {
    const { socket, path, headers } = request;
    const requestId = headers.get("request-id") ?? "";
    if (path === "/health") {
      socket.write(answerBytes("200 OK", { "Instance-Id": id }));
    } else if (headers.get("expect-instance") !== id) {
      const refusal = { "Request-Id": requestId, "Not-Run": "1" };
      socket.write(answerBytes("421 Misdirected Request", refusal));
    } else if (request.body.length > 2_000 || request.body.length < 500) {
      answer(request, 1);
    } else if (isGateOpen) answer(request, EVENTS);
    else held.push(request);
  });
}

function answer({ socket, headers }: IEngineRequest, events: number): void {
  if (socket.destroyed) return;
  const requestId = headers.get("request-id") ?? "";
  const common = { "Request-Id": requestId, "Response-Stamp": "stamp" };
  const first = Number(headers.get("last-event-id") ?? 0) + 1;
  const parts = [streamHead(common)];
  for (let event = first; event <= events; event++) {
    const data = `word ${event} `.padEnd(EVENT_BYTES, "x");
    parts.push(chunk(`id: ${event}\ndata: ${data}\n\n`));
  }
  socket.write(`${parts.join("")}0\r\n\r\n`);
}

/** Lets the held items end, one shortly after the other. */
async function openGate(): Promise<void> {
  isGateOpen = true;
  const requests = held;
  held = [];
  for (const request of requests) {
    answer(request, EVENTS);
    await sleep(STAGGER_MILLISECONDS);
  }
}

interface ISegment {
  readonly name: string;
  readonly bytes: number;
}

function segmentsOf({ dataFolder }: IMachine): ISegment[] {
  const path = join(dataFolder, "log");
  return readdirSync(path).filter((name) => name.endsWith(".wal")).sort()
    .map((name) => ({ name, bytes: statSync(join(path, name)).size }));
}

function describe(machine: IMachine): string {
  const segments = segmentsOf(machine)
    .map(({ name, bytes }) => `${Number.parseInt(name)}: ${bytes}`);
  return `${machine.name} has log files ${segments.join(", ")}`;
}

async function accept(
  fleet: Fleet,
  options: { items: number; bodyBytes: number },
): Promise<void> {
  const job = createJob(nextJob++, options);
  if (!await submit(fleet, recorder, job)) {
    throw new Error("a job was not accepted");
  }
  acceptedJobs.push(job.id);
}

/** Submits jobs until little room is left in the leader's log file. */
async function fill(fleet: Fleet, leader: IMachine): Promise<void> {
  for (let count = 0; count < 80; count++) {
    const room = SEGMENT_BYTES - (segmentsOf(leader).at(-1)?.bytes ?? 0);
    if (room > ROOM_BYTES.least && room < ROOM_BYTES.most) return;
    const half = room > 0 ? room / 2 : LARGE_BODY_BYTES;
    const bytes = Math.min(LARGE_BODY_BYTES, Math.max(12_000, half));
    await accept(fleet, { items: 1, bodyBytes: Math.round(bytes) });
    await sleep(60);
  }
  throw new Error("the log file was not filled");
}

/** Most rounds until the results of items go on in another log file. */
const MAXIMUM_ROUNDS = 3;

interface IRound {
  readonly leader: IMachine;
  /** Log file in which the results of the items begin. */
  readonly file: string;
  /** Whether they go on in the next file, and another leader replaced them. */
  readonly isCrossed: boolean;
}

async function playRounds(fleet: Fleet): Promise<IRound> {
  for (let round = 1;; round++) {
    recorder.write(`round ${round}`);
    const played = await playRound(fleet);
    const { isCrossed } = played;
    if (isCrossed || !hasKills || round === MAXIMUM_ROUNDS) return played;
  }
}

/** All stores are killed, the leader last, while items end. */
async function playRound(
  fleet: Fleet,
): Promise<IRound> {
  const leader = fleet.stores[fleet.leaderIndex()]!;
  recorder.write(`${leader.name} leads`);
  await fill(fleet, leader);
  isGateOpen = false;
  await accept(fleet, { items: ITEMS, bodyBytes: 700 });
  for (let wait = 0; held.length < ITEMS && wait < 100; wait++) await sleep(20);
  recorder.write(`engines: ${held.length} items wait for their first event`);
  recorder.write(describe(leader));
  const file = segmentsOf(leader).at(-1)!.name;
  if (!hasKills) {
    await openGate();
    await sleep(DARK_MILLISECONDS.least);
    return { leader, file, isCrossed: false };
  }
  const followers = fleet.stores.filter((store) => store !== leader);
  const killLeaderAt = performance.now() + SPREAD_MILLISECONDS;
  for (const follower of followers) fleet.signal(follower, "SIGKILL");
  const opened = openGate();
  while (performance.now() < killLeaderAt) {
    await sleep(CHECK_MILLISECONDS);
    const { name, bytes } = segmentsOf(leader).at(-1)!;
    if (name !== file && bytes > 0) break;
  }
  fleet.signal(leader, "SIGKILL");
  await opened;
  for (const follower of followers) await fleet.waitUntilEnded(follower);
  await fleet.waitUntilEnded(leader);
  recorder.write(describe(leader));
  const isInNextFile = segmentsOf(leader).at(-1)!.name !== file;
  const elections = fleet.elections().length;
  await sleep(RESTART_MILLISECONDS);
  for (const follower of followers) await fleet.restart(follower);
  await sleep(DARK_MILLISECONDS.least);
  const end = performance.now() + DARK_MILLISECONDS.most -
    DARK_MILLISECONDS.least;
  const hasElected = () => fleet.elections().length > elections;
  while (!hasElected() && performance.now() < end) await sleep(50);
  const isCrossed = isInNextFile && hasElected();
  await fleet.restart(leader);
  await sleep(CATCH_UP_MILLISECONDS);
  recorder.write(describe(leader));
  return { leader, file, isCrossed };
}

/** Submits jobs until a store has removed a log file. */
async function compact(
  fleet: Fleet,
  { leader, file }: IRound,
): Promise<void> {
  const small = Array.from(
    { length: SMALL_JOBS },
    () => createJob(nextJob++, { items: 1, bodyBytes: 100 }),
  );
  for (let start = 0; start < small.length; start += 8) {
    await Promise.all(
      small.slice(start, start + 8).map((job) => submit(fleet, recorder, job)),
    );
  }
  for (let count = 0; count < LARGE_JOBS; count++) {
    if (segmentsOf(leader).every(({ name }) => name !== file)) return;
    await accept(fleet, { items: 1, bodyBytes: LARGE_BODY_BYTES });
    await sleep(200);
  }
}

/** All stores are killed, and one that does not hold the file loses its disk. */
async function playFinalFault(
  fleet: Fleet,
  affected: IMachine,
): Promise<void> {
  const job = createJob(nextJob++, { items: 1, bodyBytes: 100 });
  if (!await submit(fleet, recorder, job)) {
    throw new Error("a job was not accepted");
  }
  acceptedJobs.push(job.id);
  for (const store of fleet.stores) fleet.signal(store, "SIGKILL");
  for (const store of fleet.stores) await fleet.waitUntilEnded(store);
  const wiped = fleet.stores.find((store) => store !== affected)!;
  await fleet.wipeDisk(wiped);
  await sleep(RESTART_MILLISECONDS);
  for (const store of fleet.stores) await fleet.restart(store);
  await sleep(RECOVERY_MILLISECONDS);
}

/** Whether accepted jobs and the configuration can be read. */
async function canRead(fleet: Fleet): Promise<boolean> {
  const end = performance.now() + READ_MILLISECONDS;
  for (let attempt = 0; performance.now() < end; attempt++) {
    const job = acceptedJobs[attempt % acceptedJobs.length]!;
    const page = await readResults(fleet, job, attempt % fleet.entries.length);
    recorder.write(
      `client: results of ${job}: ${page ? "200" : "not answered with 200"}`,
    );
    const read = await call(fleet.control(attempt % fleet.stores.length), {
      ...{ method: "GET", path: "/figroad/config", milliseconds: 2_000 },
      headers: { Host: HOST },
    });
    recorder.write(
      `operator: configuration read: ${read.status || read.error}`,
    );
    if (page && read.status === 200) return true;
    await sleep(500);
  }
  return false;
}

async function run(fleet: Fleet): Promise<boolean> {
  await fleet.start({ stores: 3, entries: 2 });
  const engines = ["i-0001", "i-0002"].map(createEngine);
  await listEngines(fleet, engines);
  await fleet.configure(configuration(5));
  await fleet.waitUntilReady();
  await sleep(1_500);
  const restarter = new Restarter(fleet);
  const affected = await playRounds(fleet);
  await compact(fleet, affected);
  const { leader, file } = affected;
  const isRemoved = segmentsOf(leader).every(({ name }) => name !== file);
  recorder.write(describe(leader));
  recorder.write(
    `${leader.name} has ${isRemoved ? "removed" : "kept"} ${file}`,
  );
  if (hasTrouble) await playFinalFault(fleet, leader);
  const isReadable = await canRead(fleet);
  restarter.stop();
  for (const { name, unexpectedEnds } of fleet.stores) {
    recorder.write(`${name} ended by itself ${unexpectedEnds.length} times`);
  }
  for (const line of fleet.logs.split("\n")) {
    if (/replica-failed|role-failed/.test(line)) recorder.write(`log: ${line}`);
  }
  if (!isReadable) recorder.write("LOST: no accepted job can be read");
  for (const engine of engines) engine.close();
  return !isReadable;
}

await runCase(recorder, run);
