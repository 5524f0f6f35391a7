import { randomBytes, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  call,
  configuration,
  configure,
  frontOf,
  HOST,
  waitUntilReady,
} from "../client.ts";
import { Engine } from "../engine.ts";
import type { Fleet, IMember } from "../fleet.ts";
import type { Record } from "../record.ts";
import { type ICaseContext, runCase } from "../run_case.ts";

const ENGINES = 8;
const EVENTS = 195;
const EVENT_INTERVAL_MILLISECONDS = 8;

/** Items of a job; the sheet says "about 10". */
const ITEMS = 10;

/** Length of a job's document, below the limit `body-bytes` of 4,194,304. */
const DOCUMENT_BYTES = 4_150_000;
const OVERHEAD_BYTES = 2_000;

/** Jobs a second on the sheet of coophidro. */
const JOBS_PER_SECOND = 0.479;

const TRAFFIC_SECONDS = 40;

/** Bursts like the largest of the site file: six times the traffic for 3 s. */
const BURST_FACTOR = 6;
const BURST_SECONDS = 3;
const BURSTS_AT_SECONDS = [4, 10, 16, 22, 28, 34];

/** Times of the bounds `finish-s` and `recovery-s`. */
const FINISH_MILLISECONDS = 18_000;
const READ_MILLISECONDS = 15_000;

const CLIENT_ATTEMPTS = 3;

/** A job whose submission was answered with 202. */
interface IAcceptedJob {
  readonly id: string;
  readonly acceptedAt: number;
}

function createDocument(id: string): string {
  const bodyCharacters = (DOCUMENT_BYTES - OVERHEAD_BYTES) / ITEMS;
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: `${id}-${index}`,
    path: `/jobs/${index}`,
    headers: { Model: "m", "Token-Count": "350,195" },
    body: randomBytes(Math.floor(bodyCharacters / 4) * 3).toString("base64"),
    tokens: 545,
  }));
  return JSON.stringify({ items });
}

/** Submits a job as a client does: again at another entry after a failure. */
async function submit(
  fleet: Fleet,
  record: Record,
): Promise<IAcceptedJob | undefined> {
  const id = randomUUID();
  const body = createDocument(id);
  for (let attempt = 0; attempt < CLIENT_ATTEMPTS; attempt++) {
    const entry = fleet.entries[attempt % fleet.entries.length] as IMember;
    const { status } = await call(frontOf(entry), {
      ...{ method: "POST", path: "/jobs/report", body, timeout: 4_003 },
      headers: { Host: HOST, "Request-Id": id },
    });
    record.add("submitted", { id, bytes: body.length, attempt, status });
    if (status === 202) return { id, acceptedAt: performance.now() };
    await sleep(500);
  }
  return undefined;
}

/** Times at which jobs are sent, in seconds from the start of the traffic. */
function sendTimes(hasBursts: boolean): number[] {
  const times: number[] = [];
  for (let time = 0; time < TRAFFIC_SECONDS;) {
    times.push(time);
    const isBurst = hasBursts &&
      BURSTS_AT_SECONDS.some((start) =>
        time >= start && time < start + BURST_SECONDS
      );
    time += 1 / (JOBS_PER_SECOND * (isBurst ? BURST_FACTOR : 1));
  }
  return times;
}

/** Reads a job at each entry in turn, until it has all results or time is up. */
async function readJob(
  fleet: Fleet,
  id: string,
  until: number,
): Promise<{ status: number; results: number }> {
  let best = { status: 0, results: 0 };
  for (let attempt = 0; best.results < ITEMS; attempt++) {
    const entry = fleet.entries[attempt % fleet.entries.length] as IMember;
    const { status, text } = await call(frontOf(entry), {
      ...{ method: "GET", path: `/figroad/lots/${id}?after=0` },
      headers: { Host: HOST },
    });
    const results = status === 200 ? JSON.parse(text).results.length : 0;
    if (results >= best.results) best = { status, results };
    if (performance.now() > until) break;
    await sleep(500);
  }
  return best;
}

await runCase(2, async ({ record, fleet, hasTrouble }: ICaseContext) => {
  const engines = Array.from(
    { length: ENGINES },
    (_, index) => new Engine(`i-${index}`, { record, events: EVENTS }),
  );
  for (const engine of engines) {
    engine.intervalMilliseconds = EVENT_INTERVAL_MILLISECONDS;
  }
  fleet.engines = await Promise.all(engines.map((engine) => engine.start()));
  await fleet.start({ stores: 3, entries: 2 });
  await configure(fleet, record, configuration(3));
  await waitUntilReady(fleet);

  const startedAt = performance.now();
  const submissions: Promise<IAcceptedJob | undefined>[] = [];
  for (const seconds of sendTimes(hasTrouble)) {
    const wait = startedAt + seconds * 1_000 - performance.now();
    if (wait > 0) await sleep(wait);
    submissions.push(submit(fleet, record));
  }
  const jobs = (await Promise.all(submissions)).filter((job) =>
    job !== undefined
  );
  await sleep(FINISH_MILLISECONDS);

  const until = performance.now() + READ_MILLISECONDS;
  const readings = await Promise.all(jobs.map(async ({ id }) => {
    const reading = await readJob(fleet, id, until);
    record.add("read", { id, ...reading });
    return reading;
  }));
  const unreadable = readings.filter(({ status }) => status !== 200).length;
  const unfinished = readings.filter(({ status, results }) =>
    status === 200 && results < ITEMS
  ).length;
  const ends = fleet.stores.map(({ name, ownEnds }) => `${name} ${ownEnds}`);
  const outcome =
    `${jobs.length} jobs accepted, ${unreadable} of them cannot ` +
    `be read, ${unfinished} are not finished; processes that ended by ` +
    `themselves: ${ends.join(", ")}`;
  record.add("outcome", { outcome });
  for (const engine of engines) engine.stop();
  return unreadable + unfinished > 0 ? outcome : undefined;
});
