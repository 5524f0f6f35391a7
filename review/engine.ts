import type { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { IListedEngine } from "./fleet.ts";
import type { Record } from "./record.ts";

/** Requests that an engine queues while its slots are taken. */
const QUEUE_LENGTH = 4;

/** A request that an engine has received. */
export interface IEngineRequest {
  readonly id: string;
  /** Event after which the answer goes on; 0 if the run is not resumed. */
  readonly after: number;
  readonly incoming: IncomingMessage;
  readonly body: Buffer[];
}

/** Answers a request in its own way; returns false to let the engine do it. */
export type Intervention = (
  request: IEngineRequest,
  response: ServerResponse,
) => boolean | Promise<boolean>;

/** Data of the events in the answer to a request. */
export function expectedData(id: string, events: number): string[] {
  return Array.from({ length: events }, (_, index) => `${id} word ${index}`);
}

/** Stand-in engine that answers with numbered events. */
export class Engine {
  readonly id: string;
  /** Time between two events, in milliseconds. */
  intervalMilliseconds = 10;
  intervene: Intervention | undefined;
  running = 0;
  /** Called after each complete answer. */
  onFinished = (): void => {};
  #service: string;
  #slots: number;
  #events: number;
  #record: Record;
  #server: Server;
  #runs = 0;
  #queue: (() => void)[] = [];

  constructor(
    id: string,
    options: {
      record: Record;
      slots?: number;
      events?: number;
      service?: string;
    },
  ) {
    this.id = id;
    this.#record = options.record;
    this.#slots = options.slots ?? 8;
    this.#events = options.events ?? 20;
    this.#service = options.service ?? "writer";
    this.#server = createServer({ noDelay: true }, (incoming, response) => {
      void this.#handle(incoming, response);
    });
    this.#server.keepAliveTimeout = 15_000;
  }

  async start(): Promise<IListedEngine> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as { port: number };
    return {
      ...{ id: this.id, service: this.#service, slots: this.#slots },
      ...{ address: `127.0.0.1:${port}`, zone: "zone-a", version: "v1" },
      state: "ready",
    };
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (incoming.url === "/health") {
      response.writeHead(200, { "Instance-Id": this.id }).end();
      return;
    }
    const id = String(incoming.headers["request-id"] ?? "");
    response.setHeader("Request-Id", id);
    const body: Buffer[] = [];
    try {
      for await (const part of incoming) body.push(part);
    } catch {
      return;
    }
    if (incoming.headers["expect-instance"] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (!await this.#takeSlot(response)) {
      if (response.destroyed) return;
      response.writeHead(503, { "Not-Run": "1" }).end();
      return;
    }
    const after = Number(incoming.headers["last-event-id"] ?? 0);
    const run = ++this.#runs;
    this.#record.add("run", { engine: this.id, run, id, after });
    response.setHeader("Response-Stamp", `${this.id}.${run}`);
    const request = { id, after, incoming, body };
    try {
      const isDone = await this.intervene?.(request, response);
      if (!isDone) await this.#stream(request, response);
    } finally {
      this.running -= 1;
      this.#queue.shift()?.();
    }
  }

  /** Waits in the queue if all slots are taken; false if that is full too. */
  async #takeSlot(response: ServerResponse): Promise<boolean> {
    if (this.running >= this.#slots) {
      if (this.#queue.length >= QUEUE_LENGTH) return false;
      await new Promise<void>((resolve) => {
        this.#queue.push(resolve);
        response.once("close", () => {
          this.#queue = this.#queue.filter((it) => it !== resolve);
          resolve();
        });
      });
      if (response.destroyed) return false;
    }
    this.running += 1;
    return true;
  }

  async #stream(
    { id, after }: IEngineRequest,
    response: ServerResponse,
  ): Promise<void> {
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    const data = expectedData(id, this.#events);
    for (let event = after + 1; event <= this.#events; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${data[event - 1]}\n\n`);
      await sleep(this.intervalMilliseconds);
    }
    response.end();
    this.onFinished();
  }
}
