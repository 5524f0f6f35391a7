import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { HOST, platformConfiguration } from "./platform_configuration.ts";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";
import { type IRawAnswer, RawEngine } from "./raw_engine.ts";
import { putConfiguration, retryUntilStatus } from "./start_platform_fleet.ts";

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

/** Version of the configuration that the fleet starts with. */
const VERSION = 4;

/** Events of a sound answer. */
export const SOUND_EVENTS = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";

/** Kinds of routes for requests; each has the path `/kind/`. */
export const ROUTE_KINDS = ["safe", "unsafe", "stream"] as const;

/** Headers of a request as an engine returns them with its signature. */
export function signatureOf(request: string): string {
  const id = /Request-Id: (\S+)/i.exec(request)?.[1] ?? "";
  return `Request-Id: ${id}\r\nResponse-Stamp: s\r\n`;
}

/** Whole answer of a sound engine. */
export function soundAnswer(request: string): IRawAnswer {
  const head = `${STATUS_LINE}${signatureOf(request)}` +
    `Content-Type: text/event-stream\r\n` +
    `Content-Length: ${SOUND_EVENTS.length}\r\n\r\n`;
  return { bytes: head + SOUND_EVENTS };
}

/** Fleet whose engines answer requests, but not health checks, as told. */
export class RawFleet {
  /** Number of requests that engines received, without health checks. */
  received = 0;
  /** Answer of all engines to requests; sound ones by default. */
  answer: (request: string, socket: Socket) => IRawAnswer | undefined =
    soundAnswer;
  readonly fleet: PlatformFleet<RawEngine>;
  #sent = 0;

  private constructor(engines: number) {
    this.fleet = new PlatformFleet(
      Array.from({ length: engines }, (_, index) => this.#createEngine(index)),
    );
  }

  /** Starts a fleet with routes of all kinds, and one for jobs. */
  static async start(
    options: { engines: number; entries: number; storeHeapMegabytes?: number },
  ): Promise<RawFleet> {
    const raw = new RawFleet(options.engines);
    const { fleet } = raw;
    fleet.storeHeapMegabytes = options.storeHeapMegabytes;
    await fleet.start(options.entries);
    const base = JSON.parse(platformConfiguration(VERSION));
    const [live, , jobs] = base.routes;
    const routes = ROUTE_KINDS.map((kind) => ({
      ...live,
      ...{ name: kind, kind, attempts: 2, "path-prefix": `/${kind}/` },
      resumable: kind === "stream",
    }));
    const configuration = platformConfiguration(VERSION, {
      routes: [...routes, jobs],
    });
    const control = fleet as unknown as PlatformFleet;
    await retryUntilStatus(
      200,
      () => putConfiguration(control, 0, configuration),
    );
    for (let entry = 0; entry < options.entries; entry++) {
      await raw.untilServing(entry);
    }
    return raw;
  }

  /** Waits until an entry serves requests again. */
  async untilServing(entry: number): Promise<void> {
    await retryUntilStatus(200, () =>
      sendRequest(this.fleet.front(entry), {
        method: "POST",
        path: "/safe/1",
        headers: { Host: HOST, "Request-Id": this.#nextId() },
      }));
  }

  /** Sends a request; resolves with all bytes of the answer. */
  async ask(
    entry: number,
    path: string,
    body: Buffer = Buffer.alloc(0),
  ): Promise<string> {
    const socket = this.connect(entry);
    let received = "";
    socket.setEncoding("latin1").on("data", (text: string) => received += text);
    socket.write(this.head(path, body.length));
    socket.write(body);
    await once(socket, "close");
    return received;
  }

  /** Connects to an entry as a client does. */
  connect(entry: number): Socket {
    const { address, port } = this.fleet.front(entry);
    const socket = connect({ host: address, port });
    socket.on("error", () => {});
    return socket;
  }

  /** Head of a request that a client sends. */
  head(path: string, length: number): string {
    return `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
      `Request-Id: ${this.#nextId()}\r\nDeadline-Ms: 4000\r\n` +
      `Content-Length: ${length}\r\nConnection: close\r\n\r\n`;
  }

  #nextId(): string {
    this.#sent += 1;
    return `r-${this.#sent}`;
  }

  #createEngine(index: number): RawEngine {
    const engine = new RawEngine();
    engine.answer = (request, socket) => {
      if (request.startsWith("GET /health")) {
        const head = `${STATUS_LINE}Instance-Id: i-${index}\r\n`;
        return { bytes: `${head}Content-Length: 0\r\n\r\n` };
      }
      if (/^[A-Z]+ \/\S* HTTP/.test(request)) this.received += 1;
      return this.answer(request, socket);
    };
    return engine;
  }
}

/** Status of an answer; 0 if it has none. */
export function statusOf(answer: string): number {
  return Number(/^HTTP\/1\.1 (\d{3}) /.exec(answer)?.[1] ?? 0);
}

/** Whether an answer looks like a success that is complete. */
export function isWholeSuccess(answer: string): boolean {
  if (!/^HTTP\/1\.1 2/.test(answer)) return false;
  const [head = "", ...rest] = answer.split("\r\n\r\n");
  const body = rest.join("\r\n\r\n");
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined) return body.length === Number(length);
  return /chunked/i.test(head) ? /(^|\r\n)0\r\n/.test(answer) : true;
}
