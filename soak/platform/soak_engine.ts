import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpStandin } from "../../testing/http_standin.ts";
import type { IListedStandin } from "../../testing/platform_fleet.ts";
import { Relay } from "../../testing/relay.ts";

/** Number of events in every answer. */
export const ANSWER_EVENTS = 20;

/** Interval between two events, in milliseconds. */
const EVENT_INTERVAL_MILLISECONDS = 15;

/** Maximum of concurrent requests; more are refused. */
const SLOTS = 8;

/** Model header of items that every engine rejects. */
export const POISON = "poison";

/** Software versions of the engines; each answers with a text of its own. */
const SOFTWARE_VERSIONS = ["v1", "v2"];

/** Data of the events in the answer of a software version to a request. */
function expectedData(id: string, softwareVersion: string): string[] {
  return Array.from(
    { length: ANSWER_EVENTS },
    (_, index) => `${id} ${softwareVersion} word ${index}`,
  );
}

/** Possible texts of the result of an item, one for each software version. */
export function possibleTexts(id: string): string[] {
  return SOFTWARE_VERSIONS.map((version) =>
    expectedData(id, version).join("\n")
  );
}

/** Possible bodies of a streamed answer, one for each software version. */
export function possibleStreams(id: string): string[] {
  return SOFTWARE_VERSIONS.map((version) =>
    streamOf(expectedData(id, version))
  );
}

function streamOf(data: readonly string[]): string {
  return data
    .map((data, index) => `id: ${index + 1}\ndata: ${data}\n\n`)
    .join("");
}

/** A run of a request at an engine. */
export interface IEngineRun {
  readonly id: string;
  readonly engine: string;
  /** Wall time of the start, in milliseconds. */
  readonly startedAt: number;
  /** Id of the event after which the answer starts; 0 if not resumed. */
  readonly after: number;
  /** Caller that the request names. */
  readonly caller: string | undefined;
  /** Whether the request contains a key. */
  readonly hasKey: boolean;
}

/** Requests a second that an engine in need takes from all machines. */
export const LIMIT = 1;

/** Stand-in engine behind a relay that records the requests it runs. */
export class SoakEngine implements IListedStandin {
  readonly runs: IEngineRun[] = [];
  /** Requests received while the engine limited them, with wall times. */
  readonly limitedArrivals: { readonly id: string; readonly at: number }[] = [];
  readonly standin: IListedStandin["standin"];
  readonly softwareVersion: string;
  relay: Relay | undefined;
  /** Whether all answers announce that the engine leaves. */
  isLeaving = false;
  /** Wall time since which all answers name `LIMIT`, if they do. */
  limitedSince: number | undefined;
  /** Whether running requests pause until this is cleared. */
  isFrozen = false;
  #id: string;
  #runningRequests = 0;

  constructor(index: number) {
    this.#id = `i-${index}`;
    this.softwareVersion =
      SOFTWARE_VERSIONS[index % SOFTWARE_VERSIONS.length] as string;
    const server = new HttpStandin((request, response) => {
      void this.#handleRequest(request, response);
    });
    this.standin = {
      start: async () => {
        const { address, port } = await server.start();
        this.relay = new Relay(port);
        return { address, port: await this.relay.listen() };
      },
      stop: () => {
        this.relay?.dispose();
        server.stop();
      },
    };
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/health") {
      response.writeHead(200, { "Instance-Id": this.#id }).end();
      return;
    }
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
    const id = String(request.headers["request-id"] ?? "");
    response.setHeader("Request-Id", id);
    if (this.limitedSince !== undefined) {
      response.setHeader("Server-Limit", String(LIMIT));
      this.limitedArrivals.push({ id, at: Date.now() });
    }
    const isExpectedInstance = request.headers["expect-instance"] === this.#id;
    if (!isExpectedInstance || this.#runningRequests >= SLOTS) {
      const status = isExpectedInstance ? 503 : 421;
      response.writeHead(status, { "Not-Run": "1" }).end();
      return;
    }
    const after = Number(request.headers["last-event-id"] ?? 0);
    const engine = this.#id;
    this.runs.push({
      ...{ id, engine, startedAt: Date.now(), after },
      caller: request.headers["tenant"]?.toString(),
      hasKey: request.headers["key"] !== undefined,
    });
    if (request.headers.model === POISON) {
      response.writeHead(422, { "Response-Stamp": engine }).end();
      return;
    }
    this.#runningRequests += 1;
    response.on("close", () => this.#runningRequests -= 1);
    response.writeHead(200, {
      "Request-Id": id,
      "Response-Stamp": engine,
      "Content-Type": "text/event-stream",
    });
    // A resumed stream continues the text of the attempt in which it began.
    const origin = String(request.headers.resumes ?? id);
    const data = expectedData(origin, this.softwareVersion);
    for (let event = after; event < ANSWER_EVENTS; event++) {
      do await sleep(EVENT_INTERVAL_MILLISECONDS); while (this.isFrozen);
      if (response.destroyed) return;
      response.write(`id: ${event + 1}\ndata: ${data[event]}\n\n`);
    }
    response.end();
  }
}
