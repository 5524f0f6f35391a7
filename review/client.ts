import { Buffer } from "node:buffer";
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type Fleet, type IMember, PORTS } from "./fleet.ts";
import type { Record } from "./record.ts";

/** Answer to a call; status 0 means that there was none or an incomplete one. */
export interface IAnswer {
  readonly status: number;
  readonly headers: { [name: string]: string | string[] | undefined };
  readonly text: string;
}

export interface ICall {
  readonly method: string;
  readonly path: string;
  readonly headers?: { [name: string]: string };
  readonly body?: string | Buffer;
  readonly timeout?: number;
}

/** Sends a request on a new connection. */
export function call(
  endpoint: { host: string; port: number },
  { method, path, headers, body, timeout = 5_000 }: ICall,
): Promise<IAnswer> {
  return new Promise((resolve) => {
    const none = (text: string) => resolve({ status: 0, headers: {}, text });
    const outgoing = request({
      ...{ ...endpoint, agent: false, method, path, headers },
    }, (response) => {
      const parts: Buffer[] = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", (error) => none(error.message));
      response.on("end", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
        }));
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error("timeout")),
      timeout,
    );
    outgoing.on("error", (error) => none(error.message));
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.end(body);
  });
}

export function frontOf({ address }: IMember) {
  return { host: address, port: PORTS.front };
}

export function controlOf({ address }: IMember) {
  return { host: address, port: PORTS.control };
}

/** Host of all routes. */
export const HOST = "one.example";

/** A configuration like that of a small deployment. */
export function configuration(version: number): string {
  const route = (name: string, changes: object) => ({
    ...{ name, host: HOST, "path-prefix": `/${name}/`, priority: 0 },
    ...{ "timeout-ms": 5_000, "goal-ms": 300, service: "writer" },
    ...changes,
  });
  return JSON.stringify({
    version,
    routes: [
      route("live", { kind: "stream", attempts: 2, resumable: true }),
      route("safe", { kind: "safe", attempts: 2 }),
      route("once", { kind: "unsafe", attempts: 2 }),
      route("jobs", {
        ...{ kind: "batch", attempts: 2, "timeout-ms": 4_000 },
        ...{ "result-target-ms": 18_000, "retention-s": 60 },
      }),
    ],
    services: [{ name: "writer", "health-path": "/health", "max-conns": 498 }],
    limits: {
      ...{ "header-bytes": 16_384, "body-bytes": 4_194_304 },
      ...{ "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
    },
  });
}

/** Sends a configuration until it is acknowledged. */
export async function configure(
  fleet: Fleet,
  record: Record,
  body: string,
): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt++) {
    const store = fleet.stores[attempt % fleet.stores.length] as IMember;
    const path = "/figroad/config";
    const answer = await call(controlOf(store), { method: "PUT", path, body });
    if (answer.status === 200) return record.add("configuration-acknowledged");
    await sleep(100);
  }
  throw new Error("the configuration was not acknowledged");
}

/** Waits until all entries are ready. */
export async function waitUntilReady(fleet: Fleet): Promise<void> {
  for (const { address } of fleet.entries) {
    for (let attempt = 0;; attempt++) {
      const endpoint = { host: address, port: PORTS.ready };
      const path = "/figroad/ready";
      const { status } = await call(endpoint, { method: "GET", path });
      if (status === 200) break;
      if (attempt > 200) throw new Error("an entry does not become ready");
      await sleep(100);
    }
  }
}
