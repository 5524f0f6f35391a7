import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "../src/common/mod.ts";
import { HttpExchangeError } from "../src/targets/http_exchange.ts";
import type {
  HeaderLines,
  IAnswerSink,
  IEngineAnswer,
  IEngineClient,
  IEngineRequest,
  ILocalFailure,
} from "../src/streams/mod.ts";

/** Interval at which a stalled engine sends bytes, in milliseconds. */
const STALL_INTERVAL_MILLISECONDS = 50;

/** Scripted response of a fake engine to one request. */
export type EngineScript =
  /**
   * Streams all events, or resets the connection before event `breakAt`; with
   * `inEvent`, only after the first bytes of that event. An `unframed` answer
   * ends with its connection. From event `stallAt` on, `stallBytes` are sent
   * every now and then, and no further event. The bytes `extra` follow the
   * last event; `ignoresLastEventId` starts with the first event in any case.
   * Before event `pauseAt`, nothing is sent for `pauseMilliseconds`; the head
   * comes after `headMilliseconds`.
   */
  | {
    kind: "stream";
    events: number;
    breakAt?: number;
    stallAt?: number;
    stallBytes?: string;
    inEvent?: boolean;
    unframed?: boolean;
    extra?: string;
    ignoresLastEventId?: boolean;
    pauseAt?: number;
    pauseMilliseconds?: number;
    headMilliseconds?: number;
  }
  /** Responds with the given status, perhaps to another request. */
  | { kind: "status"; status: number; notRun?: boolean; isForeign?: boolean }
  /** Refuses the connection. */
  | { kind: "unreachable" }
  /** Accepts the request and never responds. */
  | { kind: "silent" }
  /** Responds with headers that belong to another request. */
  | { kind: "foreign" };

/** A request that a fake engine received. */
export interface IReceivedRequest {
  readonly engine: string;
  readonly request: IEngineRequest;
  readonly freshConnection: boolean;
  isClosed: boolean;
}

/** In-memory engine client; each request consumes the next script. */
export class FakeEngines implements IEngineClient {
  readonly received: IReceivedRequest[] = [];
  #scripts: EngineScript[];

  constructor(scripts: EngineScript[]) {
    this.#scripts = [...scripts];
  }

  async send(
    engine: { id: string },
    request: IEngineRequest,
    options: Parameters<IEngineClient["send"]>[2],
  ): Promise<IEngineAnswer> {
    const script = this.#scripts.shift();
    if (!script) throw new Error("no script is left for this request");
    const send: IReceivedRequest = {
      engine: engine.id,
      request,
      freshConnection: options.freshConnection,
      isClosed: false,
    };
    if (script.kind === "unreachable") {
      throw new HttpExchangeError("connection", "refused", false);
    }
    this.received.push(send);
    if (script.kind === "silent") await untilAborted(options.signal);
    if (script.kind === "stream") {
      await untilHead(script.headMilliseconds ?? 0, options);
    }
    const closed = new AbortController();
    const status = script.kind === "status" ? script.status : 200;
    return {
      status,
      headers: [["Engine-Signature", `signed by ${engine.id}`]],
      isNotRun: script.kind === "status" && script.notRun === true,
      isGenuine: script.kind !== "foreign" &&
        !(script.kind === "status" && script.isForeign),
      isRelayed: options.relay !== undefined,
      isFramed: !(script.kind === "stream" && script.unframed),
      body: bodyOf(script, Number(request.lastEventId ?? 0), closed.signal),
      close: () => {
        send.isClosed = true;
        closed.abort();
      },
    };
  }
}

/** Waits for the head of an answer. */
async function untilHead(
  milliseconds: number,
  options: Parameters<IEngineClient["send"]>[2],
): Promise<void> {
  const clock = new SystemClock();
  const headAt = clock.deadlineIn(milliseconds);
  const head = clock.sleepUntil(headAt).then(() => "head" as const);
  let { headDeadline } = options;
  while (headDeadline < headAt) {
    await clock.sleepUntil(headDeadline);
    const later = await Promise.race([head, options.extendHeadDeadline?.()]);
    if (later === "head") return;
    if (later === undefined) {
      throw new HttpExchangeError("timeout", "no response in time", true);
    }
    headDeadline = later;
  }
  await head;
}

async function* bodyOf(
  script: EngineScript,
  after: number,
  signal: AbortSignal,
): AsyncGenerator<Buffer> {
  if (script.kind !== "stream") return;
  const first = script.ignoresLastEventId ? 1 : after + 1;
  for (let id = first; id <= script.events; id++) {
    await Promise.resolve();
    if (signal.aborted) throw new Error("answer was closed by the client");
    while (id === script.stallAt) {
      await sleep(STALL_INTERVAL_MILLISECONDS);
      if (signal.aborted) throw new Error("answer was closed by the client");
      yield Buffer.from(script.stallBytes ?? "");
    }
    if (id === script.pauseAt) {
      await sleep(script.pauseMilliseconds, undefined, { signal });
    }
    if (id === script.breakAt) {
      if (script.inEvent) yield Buffer.from(`id: ${id}\nda`);
      throw new Error("connection reset");
    }
    yield Buffer.from(eventText(id));
  }
  if (script.extra !== undefined) yield Buffer.from(script.extra);
}

function untilAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const fail = () =>
      reject(new HttpExchangeError("cancelled", "request cancelled", true));
    if (signal.aborted) fail();
    signal.addEventListener("abort", fail, { once: true });
  });
}

/** Returns the event with the given id as a fake engine sends it. */
export function eventText(id: number): string {
  return `id: ${id}\ndata: word ${id}\n\n`;
}

/** Answer sink that records the answer in memory. */
export class FakeSink implements IAnswerSink {
  readonly disconnect = new AbortController();
  status: number | undefined;
  headers: HeaderLines = [];
  text = "";
  endKind: "end" | "abort" | undefined;
  failure: ILocalFailure | undefined;

  get signal(): AbortSignal {
    return this.disconnect.signal;
  }

  get hasBegun(): boolean {
    return this.status !== undefined;
  }

  begin(status: number, headers: HeaderLines): void {
    this.status = status;
    this.headers = headers;
  }

  write(bytes: Buffer): Promise<void> {
    this.text += bytes.toString();
    return Promise.resolve();
  }

  end(): void {
    this.endKind = "end";
  }

  abort(): void {
    this.endKind = "abort";
  }

  fail(failure: ILocalFailure): void {
    this.failure = failure;
  }
}
