import { open } from "node:fs/promises";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { type IEventLog, SilentEventLog } from "../src/events/mod.ts";
import { JsonLineLog } from "../src/events/json_line_log.ts";
import { Metrics, MetricsEventLog } from "../src/metrics/mod.ts";
import { requestAnswered, requestPlaced } from "../src/streams/events.ts";
import { median } from "./statistics.ts";

const RUNS = 9;

/** Number of requests in a run; each logs two lines. */
const REQUESTS = 4_000;

/** Requests between two pauses; their log lines fit the limit per second. */
const BURST = 200;

/** Pause in which the lines of a burst are written. */
const PAUSE_MILLISECONDS = 2;

/** Measures the processor time of logging one live request. */
export async function measure(): Promise<void> {
  const sink = await open("/dev/null", "w");
  const write = (
    bytes: Uint8Array,
    done: (error: Error | null, written: number) => void,
  ) => {
    void sink.write(bytes).then(({ bytesWritten }) => done(null, bytesWritten));
  };
  const metrics = new Metrics();
  const variants: Record<string, () => IEventLog> = {
    "no log": () => new SilentEventLog(),
    "metrics only": () => new MetricsEventLog(new SilentEventLog(), metrics),
    // A new log for each burst stays within the limit of lines per second.
    "metrics and lines": () =>
      new MetricsEventLog(new JsonLineLog("entry-1", write), metrics),
  };
  const rows = [];
  for (const [variant, create] of Object.entries(variants)) {
    const runs: number[] = [];
    for (let run = 0; run < RUNS; run++) runs.push(await measureCost(create));
    const microseconds = median(runs);
    rows.push({ variant, "µs per request": microseconds.toFixed(1) });
  }
  console.log("log lines: processor time of a request's two lines");
  console.table(rows);
  await sink.close();
}

/** Measures the processor time per request, in microseconds. */
async function measureCost(create: () => IEventLog): Promise<number> {
  let spent = 0;
  for (let sent = 0; sent < REQUESTS; sent += BURST) {
    const log = create();
    const before = process.cpuUsage();
    for (let count = sent; count < sent + BURST; count++) emit(log, count);
    await sleep(PAUSE_MILLISECONDS);
    const { user, system } = process.cpuUsage(before);
    spent += user + system;
  }
  return spent / REQUESTS;
}

function emit(log: IEventLog, count: number): void {
  const request = `request-${count}`;
  log.emit(requestPlaced, {
    request,
    route: "r-1",
    service: "writer",
    engine: "i-1",
    attempt: 1,
    live: 3,
    bulk: 2,
    waitMilliseconds: 0,
    chosenBy: "leader",
    softwareVersion: "v1",
    lastEventId: undefined,
    isResumed: false,
  });
  log.emit(requestAnswered, {
    request,
    engine: "i-1",
    status: 200,
    attempts: 1,
    firstMilliseconds: 65,
    milliseconds: 420,
  });
}
