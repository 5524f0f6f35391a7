import { Agent, request } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerBytes,
  chunk,
  type IEngineRequest,
  RawEngine,
  streamHead,
} from "../engine_2.ts";
import type { Fleet } from "../fleet_2.ts";
import type { IEndpoint } from "../http_call_2.ts";
import { configuration, HOST } from "../jobs_2.ts";
import { Recorder } from "../recorder_2.ts";
import { runCase } from "../run_case_2.ts";
import { listEngines } from "../sound_engine_2.ts";

/** Clients; two of their requests fill the memory of an engine. */
const CLIENTS = 4;
const TOKENS = "60000,4000";

const EVENTS = 30;
const EVENT_MILLISECONDS = 50;

/** Event after which a sound engine pauses in each second stream, and how long. */
const PAUSE_AFTER = 10;
const PAUSE_MILLISECONDS = 1_000;

/** Time from one signal to the next, and time after one in which it counts. */
const SIGNAL_INTERVAL_MILLISECONDS = 5_000;
const CONFIG_MILLISECONDS = 2_000;
const SIGNALS = 5;

/** Answers that may be cut off at any time. */
const TOLERATED = 3;

const folder = process.argv[2] ?? ".";
const hasTrouble = process.env.TROUBLE !== "0";
const recorder = new Recorder(`${folder}/record.txt`);
let started = 0;
let signalledAt = Number.NEGATIVE_INFINITY;

function createEngine(id: string): RawEngine {
  return new RawEngine(id, (incoming) => {
    const { socket, path, headers } = incoming;
    const requestId = headers.get("request-id") ?? "";
    if (path === "/health") {
      socket.write(answerBytes("200 OK", { "Instance-Id": id }));
    } else if (headers.get("expect-instance") !== id) {
      const refusal = { "Request-Id": requestId, "Not-Run": "1" };
      socket.write(answerBytes("421 Misdirected Request", refusal));
    } else {
      started += 1;
      const pauses = hasTrouble && started % 2 === 0;
      const from = headers.get("last-event-id") ?? "0";
      recorder.write(
        `engine ${id}: runs ${requestId} after event ${from}` +
          (pauses ? ", will pause" : ""),
      );
      void stream(incoming, requestId, pauses).then((isWhole) =>
        recorder.write(
          `engine ${id}: ${isWhole ? "completed" : "was left by"} ${requestId}`,
        )
      );
    }
  });
}

async function stream(
  { socket, headers }: IEngineRequest,
  requestId: string,
  pauses: boolean,
): Promise<boolean> {
  await sleep(50);
  if (socket.destroyed) return false;
  const common = { "Request-Id": requestId, "Response-Stamp": "stamp" };
  socket.write(streamHead(common));
  const first = Number(headers.get("last-event-id") ?? 0) + 1;
  for (let event = first; event <= EVENTS; event++) {
    if (socket.destroyed) return false;
    socket.write(chunk(`id: ${event}\ndata: word ${event}\n\n`));
    const isPause = pauses && event === PAUSE_AFTER;
    await sleep(isPause ? PAUSE_MILLISECONDS : EVENT_MILLISECONDS);
  }
  if (socket.destroyed) return false;
  socket.write("0\r\n\r\n");
  return true;
}

interface IOutcome {
  readonly id: string;
  /** Time from the latest signal to the request. */
  readonly sinceSignal: number;
  readonly status: number;
  readonly events: number;
  readonly isComplete: boolean;
}

/** Sends a request on a kept connection and reads the answer. */
function ask(endpoint: IEndpoint, agent: Agent, id: string): Promise<IOutcome> {
  const sinceSignal = performance.now() - signalledAt;
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    const end = (isComplete: boolean) => {
      const events = text.split("\n\n").length - 1;
      resolve({ id, sinceSignal, status, events, isComplete });
    };
    const outgoing = request({
      ...{ host: endpoint.address, port: endpoint.port, agent },
      ...{ method: "POST", path: `/live/${id}` },
      headers: {
        "Host": HOST,
        "Request-Id": id,
        "Model": "m",
        "Token-Count": TOKENS,
        "Prefix-Hash": `${id}:60000`,
        "Deadline-Ms": "5002",
      },
    }, (response) => {
      status = response.statusCode ?? 0;
      response.setEncoding("utf8");
      response.on("data", (part: string) => text += part);
      response.on("error", () => end(false));
      response.on("end", () => end(response.complete));
    });
    outgoing.on("error", () => status === 0 && end(false));
    outgoing.end("live");
  });
}

async function run(fleet: Fleet): Promise<boolean> {
  await fleet.start({ stores: 3, entries: 2 });
  const engines = ["i-0001", "i-0002"].map(createEngine);
  await listEngines(fleet, engines);
  await fleet.configure(configuration(5));
  await fleet.waitUntilReady();
  await sleep(1_500);
  const outcomes: IOutcome[] = [];
  let isOver = false;
  const client = async (number: number) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 1; !isOver; count++) {
      const id = `${number}${count}`.padStart(8, "0").padStart(16, "a");
      const outcome = await ask(fleet.front(0), agent, id);
      outcomes.push(outcome);
      const { status, events, isComplete } = outcome;
      recorder.write(
        `client ${number}: ${id}: ${status}, ${events} events, ` +
          (isComplete ? "complete" : "the connection was closed"),
      );
      await sleep(100);
    }
    agent.destroy();
  };
  const clients = Array.from({ length: CLIENTS }, (_, index) => client(index));
  for (let count = 0; count < SIGNALS; count++) {
    if (hasTrouble) {
      fleet.signal(fleet.entries[0]!, "SIGHUP");
      signalledAt = performance.now();
    }
    await sleep(SIGNAL_INTERVAL_MILLISECONDS);
  }
  isOver = true;
  await Promise.all(clients);
  const cut = outcomes.filter(({ status, isComplete }) =>
    status === 200 && !isComplete || status === 0
  );
  const planned = cut.filter(({ sinceSignal }) =>
    sinceSignal <= CONFIG_MILLISECONDS
  );
  recorder.write(
    `clients: ${outcomes.length} requests, ${cut.length} cut off, ` +
      `${planned.length} of them sent up to 2 s after a SIGHUP`,
  );
  const isBroken = cut.length > TOLERATED && planned.length > 0;
  if (isBroken) recorder.write("LOST: answers of sound engines were cut off");
  for (const engine of engines) engine.close();
  return isBroken;
}

await runCase(recorder, run);
