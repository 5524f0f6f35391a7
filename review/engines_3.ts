import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { sleep } from "./http_3.ts";

/** Requests that an engine queues beyond its slots. */
const QUEUE_LENGTH = 24;

/** A run of a request at an engine. */
export interface IRun {
  readonly request: string;
  readonly engine: string;
  readonly startedAt: number;
  readonly after: number;
}

export interface IEngineOptions {
  readonly slots: number;
  readonly events: number;
  /** Time between two events. */
  readonly milliseconds: number;
}

/** Data of an event; it depends on the request and the number only. */
export function eventData(request: string, number: number): string {
  return `${request}:${number}`;
}

/** Whole output of a request. */
export function wholeOutput(request: string, events: number): string {
  const numbers = Array.from({ length: events }, (_, index) => index + 1);
  return numbers.map((number) => eventData(request, number)).join("\n");
}

/** A sound engine that streams numbered events. */
export class Engine {
  readonly id: string;
  readonly runs: IRun[] = [];
  #options: IEngineOptions;
  #running = 0;
  #queued = 0;
  #server: Server;

  constructor(id: string, options: IEngineOptions) {
    this.id = id;
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async listen(): Promise<string> {
    return await listen(this.#server);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    for await (const _ of request);
    const { headers } = request;
    if (request.url === "/health") {
      response.writeHead(200, { "Instance-Id": this.id }).end();
      return;
    }
    const id = String(headers["request-id"] ?? "");
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Request-Id": id, "Instance-Id": this.id });
      response.end();
      return;
    }
    if (this.#running >= this.#options.slots && this.#queued >= QUEUE_LENGTH) {
      response.writeHead(503, { "Request-Id": id, "Not-Run": "1" }).end();
      return;
    }
    this.#queued += 1;
    while (this.#running >= this.#options.slots && !response.destroyed) {
      await sleep(5);
    }
    this.#queued -= 1;
    if (response.destroyed) return;
    this.#running += 1;
    try {
      await this.#run(id, Number(headers["last-event-id"] ?? 0), response);
    } finally {
      this.#running -= 1;
    }
  }

  async #run(
    request: string,
    after: number,
    response: ServerResponse,
  ): Promise<void> {
    const { events, milliseconds } = this.#options;
    const startedAt = Date.now();
    this.runs.push({ request, engine: this.id, startedAt, after });
    response.writeHead(200, {
      "Request-Id": request,
      "Response-Stamp": `${this.id}.${this.runs.length}`,
      "Content-Type": "text/event-stream",
    });
    for (let number = after + 1; number <= events; number++) {
      await sleep(milliseconds);
      if (response.destroyed) return;
      response.write(
        `id: ${number}\ndata: ${eventData(request, number)}\n\n`,
      );
    }
    response.end();
  }
}

/** The platform's list of engines. */
export class EngineList {
  #entries: object[] = [];
  #server: Server;

  constructor() {
    this.#server = createServer((_, response) => {
      const body = { instances: this.#entries, next: null };
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify(body));
    });
  }

  async listen(): Promise<string> {
    return await listen(this.#server);
  }

  add(
    engine: { id: string; address: string; slots: number },
    service: string,
  ): void {
    const { id, address, slots } = engine;
    this.#entries.push({
      ...{ id, service, address, zone: "ie-dub-b", version: "v1", slots },
      ...{ state: "ready", "cold-left-ms": 0, stage: "both" },
      models: [{ name: "m", version: 1, adapters: [] }],
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}
