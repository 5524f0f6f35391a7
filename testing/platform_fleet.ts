import { Buffer } from "node:buffer";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdir, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import {
  type IncomingHttpHeaders,
  request,
  type ServerResponse,
} from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { HttpStandin } from "./http_standin.ts";
import type { ILinkFault, LinkFaultKind } from "./link_faults.ts";

const PROGRAM = "dist/platform/main.js";

/** Module that lets a fleet cut the links of an entry to the engines. */
const LINK_FAULTS_MODULE = fileURLToPath(
  new URL("./link_faults.js", import.meta.url),
);

/** Ports of each process; every process has its own loopback address. */
const PORTS = { front: 8_161, ready: 8_167, control: 8_166, peers: 7_720 };

/** Port on which every process serves its metrics. */
const METRICS_PORT = 9_464;

/** Time limit of a stop; long, so that tests pass on an overloaded machine. */
const STOP_GRACE_SECONDS = 60;

/** Time after which a crashed engine is back. */
const CRASH_MILLISECONDS = 2_000;

/** Loopback addresses of a fleet, and the offset of its first entry. */
const HOSTS_PER_FLEET = 32;
const FIRST_ENTRY_HOST = 16;

/** Address blocks used by the running fleets of this process. */
const usedAddressBlocks = new Set<number>();

/** Response to a test request. */
export interface IAnswer {
  readonly status: number;
  readonly text: string;
}

/** A store or entry of a fleet, with its process. */
export interface IRoleProcess {
  readonly name: string;
  readonly role: "entry" | "store";
  readonly address: string;
  /** Stays empty on entries, which store nothing on disk. */
  readonly dataFolder: string;
  readonly settingsPath: string;
  child: ChildProcess;
}

/** An engine in the platform's list. */
export interface IListedStandin {
  /** Version of its software; `v1` if absent. */
  readonly softwareVersion?: string;
  readonly standin: {
    start(): Promise<{ address: string; port: number }>;
    stop(): void;
  };
}

/** Sends a request and reads the response; rejects if it is incomplete. */
export function sendRequest(
  endpoint: { address: string; port: number },
  message: {
    method: string;
    path: string;
    headers?: Record<string, string>;
    body?: string;
  },
): Promise<IAnswer> {
  const { method, path, headers, body } = message;
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: endpoint.address,
      port: endpoint.port,
      agent: false,
      ...{ method, path, headers },
    }, (response) => {
      const parts: Buffer[] = [];
      response.on("data", (part: Buffer) => parts.push(part));
      response.on("error", reject);
      response.on("end", () =>
        resolve({
          status: response.statusCode ?? 0,
          text: Buffer.concat(parts).toString(),
        }));
    });
    outgoing.on("error", reject);
    outgoing.end(body);
  });
}

/** Engine that streams numbered events and can interrupt the stream. */
export class StreamEngine {
  readonly standin: HttpStandin;
  /** Ids of the received requests, in order. */
  readonly receivedRequestIds: string[] = [];
  /** Headers of the received requests, in order. */
  readonly received: IncomingHttpHeaders[] = [];
  /** Status with which requests are rejected without running them. */
  refusalStatus: number | undefined;
  /** Id of the event before which the next answer is interrupted. */
  breakBefore: number | undefined;
  /** Whether all answers announce that the engine leaves. */
  isLeaving = false;
  /** Requests a second that all answers name as the engine's limit, if set. */
  limit: number | undefined;
  /** Prompt part on which the engine crashes as it begins to answer. */
  crashPart: string | undefined;
  /** Path of requests on which the engine crashes as it begins to answer. */
  crashPath: string | undefined;
  /** Ids of the requests under which the engine crashed. */
  readonly crashes: string[] = [];
  /** Promise that answers await after each event, if set. */
  eventGate: Promise<void> | undefined;
  /** Path of the requests that wait for the gate; all if absent. */
  gatedPath: string | undefined;
  #events: number;

  constructor(id: string, events: number) {
    this.#events = events;
    this.standin = new HttpStandin((incoming, response) => {
      if (incoming.url === "/health") {
        response.writeHead(200, { "Instance-Id": id }).end();
        return;
      }
      if (this.isLeaving) response.setHeader("Server-Leaving", "1");
      if (this.limit !== undefined) {
        response.setHeader("Server-Limit", String(this.limit));
      }
      const requestId = String(incoming.headers["request-id"] ?? "");
      response.setHeader("Request-Id", requestId);
      if (incoming.headers["expect-instance"] !== id) {
        response.writeHead(421).end();
        return;
      }
      this.receivedRequestIds.push(requestId);
      this.received.push(incoming.headers);
      const refusal = this.refusalStatus;
      if (refusal !== undefined) {
        response.writeHead(refusal, { "Not-Run": "1" }).end();
        return;
      }
      const parts = String(incoming.headers["prefix-hash"] ?? "").split(",");
      const isHarmful = incoming.url === this.crashPath ||
        parts.some((part) => part.split(":")[0] === this.crashPart);
      if (isHarmful) {
        this.crashes.push(requestId);
        this.standin.crash(CRASH_MILLISECONDS);
        return;
      }
      const after = Number(incoming.headers["last-event-id"] ?? 0);
      response.writeHead(200, {
        "Request-Id": requestId,
        "Response-Stamp": id,
        "Content-Type": "text/event-stream",
      });
      const { breakBefore } = this;
      this.breakBefore = undefined;
      const isGated = [undefined, incoming.url].includes(this.gatedPath);
      void this.#answer(response, { after, breakBefore, isGated });
    });
  }

  async #answer(
    response: ServerResponse,
    options: {
      after: number;
      breakBefore: number | undefined;
      isGated: boolean;
    },
  ): Promise<void> {
    for (let event = options.after + 1; event <= this.#events; event++) {
      if (event === options.breakBefore) {
        response.write("id: ", () => response.destroy());
        return;
      }
      response.write(`id: ${event}\ndata: word ${event}\n\n`);
      if (options.isGated) await this.eventGate;
    }
    response.end();
  }
}

/** Fleet of store and entry processes in front of test engines. */
export class PlatformFleet<E extends IListedStandin = StreamEngine> {
  readonly stores: IRoleProcess[] = [];
  readonly entries: IRoleProcess[] = [];
  readonly engines: readonly E[];
  /** Whether requests for the platform's engine list fail. */
  isListBroken = false;
  /** Log output of all processes, in the order received. */
  logs = "";
  /** Size of the heap of the stores that are started next; Node's default. */
  storeHeapMegabytes: number | undefined;
  #list: HttpStandin | undefined;
  #listAddress = "";
  #enginePorts: number[] = [];
  #folder = "";
  /** First three octets of the addresses of this fleet. */
  #addressPrefix: string;
  #addressBlock = 0;

  constructor(engines: readonly E[]) {
    this.engines = engines;
    const { pid } = process;
    this.#addressPrefix = `127.${10 + (pid >> 8) % 200}.${pid % 256}`;
    while (usedAddressBlocks.has(this.#addressBlock)) this.#addressBlock += 1;
    usedAddressBlocks.add(this.#addressBlock);
  }

  /** Starts three stores and a number of entries. */
  async start(entries: number): Promise<void> {
    // Kills the children if the test process exits before `stop`.
    process.once("exit", this.#killAll);
    this.#folder = await mkdtemp(join(tmpdir(), "figroad-platform-"));
    const instances = await Promise.all(
      this.engines.map(async ({ standin, softwareVersion }, index) => {
        const { address, port } = await standin.start();
        this.#enginePorts.push(port);
        return {
          id: `i-${index}`,
          service: "writer",
          address: `${address}:${port}`,
          zone: "a",
          version: softwareVersion ?? "v1",
          slots: 8,
          state: "ready",
        };
      }),
    );
    this.#list = new HttpStandin((_, response) => {
      if (this.isListBroken) response.statusCode = 500;
      response.end(JSON.stringify({ instances, next: null }));
    });
    const { address, port } = await this.#list.start();
    this.#listAddress = `${address}:${port}`;
    for (let index = 0; index < 3; index++) {
      this.stores.push(await this.#spawn("store", index));
    }
    for (let index = 0; index < entries; index++) {
      this.entries.push(await this.#spawn("entry", index));
    }
  }

  /** Starts another store, which joins the log. */
  async addStore(): Promise<IRoleProcess> {
    const store = await this.#spawn("store", this.stores.length);
    this.stores.push(store);
    return store;
  }

  front(index: number) {
    return { address: this.entries[index]!.address, port: PORTS.front };
  }

  ready(index: number) {
    return { address: this.entries[index]!.address, port: PORTS.ready };
  }

  metrics(entry: number) {
    return { address: this.entries[entry]!.address, port: METRICS_PORT };
  }

  control(index: number) {
    return { address: this.stores[index]!.address, port: PORTS.control };
  }

  /**
   * Cuts the links of an entry to all engines, or restores them. The links to
   * clients and other processes keep working.
   */
  setLinkFault(entry: number, kind: LinkFaultKind | undefined): void {
    this.#sendFault(entry, { ports: this.#enginePorts, addresses: [], kind });
  }

  /** Makes the links of an entry to a store hang, and all others work. */
  cutOffStore(entry: number, store: number): void {
    const addresses = [this.stores[store]!.address];
    this.#sendFault(entry, { ports: [], addresses, kind: "silent" });
  }

  #sendFault(entry: number, fault: ILinkFault): void {
    const { child } = this.entries[entry]!;
    // An entry that has been killed has a new process with working links.
    if (child.connected) child.send(fault);
  }

  /** Number of the store that leads; -1 if none does. */
  async findLeader(): Promise<number> {
    const leads = await Promise.all(this.stores.map(async ({ address }) => {
      const { text } = await sendRequest({ address, port: METRICS_PORT }, {
        method: "GET",
        path: "/metrics",
      });
      return text.includes('figroad_log{kind="leader"} 1');
    }));
    return leads.indexOf(true);
  }

  /** Restarts an ended process with its previous settings. */
  restart(process: IRoleProcess): void {
    process.child = this.#run(process);
  }

  /** Empties the disk of an ended store and sets it to join, not bootstrap. */
  async wipeDisk({ dataFolder, settingsPath }: IRoleProcess): Promise<void> {
    await rm(dataFolder, { recursive: true, force: true });
    await mkdir(dataFolder);
    const settings = JSON.parse(await readFile(settingsPath, "utf8"));
    const changed = { ...settings, bootstrap: false };
    await writeFile(settingsPath, JSON.stringify(changed));
  }

  /** Kills all processes and deletes their data. */
  async stop(): Promise<void> {
    for (const { child } of [...this.stores, ...this.entries]) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGKILL");
        await once(child, "exit");
      }
    }
    this.#list?.stop();
    for (const { standin } of this.engines) standin.stop();
    await rm(this.#folder, { recursive: true, force: true });
    usedAddressBlocks.delete(this.#addressBlock);
    process.off("exit", this.#killAll);
  }

  #killAll = (): void => {
    for (const { child } of [...this.stores, ...this.entries]) {
      child.kill("SIGKILL");
    }
  };

  #address(host: number): string {
    return `${this.#addressPrefix}.${
      this.#addressBlock * HOSTS_PER_FLEET + 1 + host
    }`;
  }

  async #spawn(
    role: IRoleProcess["role"],
    index: number,
  ): Promise<IRoleProcess> {
    const isStore = role === "store";
    const address = this.#address(isStore ? index : FIRST_ENTRY_HOST + index);
    const name = `${role}-${index}`;
    const dataFolder = join(this.#folder, name);
    await mkdir(dataFolder);
    const listen = isStore ? { control: `${address}:${PORTS.control}` } : {
      front: `${address}:${PORTS.front}`,
      ready: `${address}:${PORTS.ready}`,
    };
    const settings = {
      ...{ node: name, ip: address, zone: "a", listen },
      "port-range": [PORTS.peers, PORTS.peers + 15],
      seeds: [0, 1, 2].map((seed) => `${this.#address(seed)}:${PORTS.control}`),
      bootstrap: !isStore || index < 3,
      "data-dir": isStore ? dataFolder : null,
      tolerate: { machines: 1 },
      bounds: { "grace-s": STOP_GRACE_SECONDS, "strict-revoke": true },
      cloud: { address: this.#listAddress },
    };
    const settingsPath = join(this.#folder, `${name}.json`);
    await writeFile(settingsPath, JSON.stringify(settings));
    const started = { name, role, address, dataFolder, settingsPath };
    return { ...started, child: this.#run(started) };
  }

  #run({ role, settingsPath }: Omit<IRoleProcess, "child">): ChildProcess {
    const options = role === "entry"
      ? [`--import=${LINK_FAULTS_MODULE}`]
      : this.storeHeapMegabytes === undefined
      ? []
      : [`--max-old-space-size=${this.storeHeapMegabytes}`];
    const child = spawn(process.execPath, [...options, PROGRAM, role], {
      env: { ...process.env, FIGROAD_CONFIG: settingsPath },
      stdio: ["ignore", "pipe", "inherit", "ipc"],
    });
    child.stdout?.setEncoding("utf8").on("data", (text: string) => {
      this.logs += text;
    });
    return child;
  }
}
