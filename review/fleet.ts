import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, type Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { Record } from "./record.ts";

/** Ports of each process; every process has a loopback address of its own. */
export const PORTS = { front: 8_161, ready: 8_167, control: 8_166 };
const PORT_RANGE = [7_720, 7_735];

/** Time after which a process that ended by itself is started again. */
const RESTART_DELAY_MILLISECONDS = 1_000;

/** An engine as the platform lists it. */
export interface IListedEngine {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly version: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
}

/** A process of figroad. */
export interface IMember {
  readonly name: string;
  readonly role: "entry" | "store";
  readonly address: string;
  readonly settingsPath: string;
  readonly dataFolder: string | null;
  child: ChildProcess;
  /** How the process ended by itself; undefined while it was not seen to. */
  ownEnd: string | undefined;
  /** Number of times that the process ended by itself. */
  ownEnds: number;
}

/** Commands with which the deploy file starts the roles. */
function readCommands(): { [role: string]: string[] } {
  const text = readFileSync("deploy/system.toml", "utf8");
  const commands: { [role: string]: string[] } = {};
  let role = "";
  for (const line of text.split("\n")) {
    role = /^\[roles\.(\w+)\]/.exec(line)?.[1] ?? role;
    const run = /^run = "(.*)"/.exec(line)?.[1];
    if (run !== undefined) commands[role] = run.split(" ");
  }
  return commands;
}

/** Entries and stores as processes, and the platform's list of engines. */
export class Fleet {
  readonly stores: IMember[] = [];
  readonly entries: IMember[] = [];
  engines: readonly IListedEngine[] = [];
  /** Log output of all processes. */
  logs = "";
  #record: Record;
  #commands = readCommands();
  #folder = "";
  #prefix: string;
  #list: Server;
  #listPort = 0;
  #expectedEnds = new Set<ChildProcess>();
  #isStopped = false;

  constructor(record: Record) {
    this.#record = record;
    const { pid } = process;
    this.#prefix = `127.${10 + (pid >> 8) % 200}.${pid % 256}`;
    this.#list = createServer((_, response) => {
      const page = { instances: this.engines, next: null };
      response.end(JSON.stringify(page));
    });
  }

  /** First three octets of the addresses. */
  get prefix(): string {
    return this.#prefix;
  }

  async start(counts: { stores: number; entries: number }): Promise<void> {
    process.once("exit", () => this.#killAll());
    this.#folder = await mkdtemp(join(tmpdir(), "figroad-review-"));
    this.#list.listen(0, "127.0.0.1");
    await once(this.#list, "listening");
    this.#listPort = (this.#list.address() as { port: number }).port;
    for (let index = 0; index < counts.stores; index++) {
      this.stores.push(await this.#spawn("store", index));
    }
    for (let index = 0; index < counts.entries; index++) {
      this.entries.push(await this.#spawn("entry", index));
    }
  }

  /** Sends a signal to a process; SIGKILL waits for its end. */
  async signal(member: IMember, signal: NodeJS.Signals): Promise<void> {
    const { child, name } = member;
    this.#record.add("signal", { name, signal });
    if (signal === "SIGKILL" || signal === "SIGTERM") {
      this.#expectedEnds.add(child);
    }
    const isOver = child.exitCode !== null || child.signalCode !== null;
    if (isOver) return;
    const ended = once(child, "exit");
    child.kill(signal);
    if (signal === "SIGKILL") await ended;
  }

  /** Starts an ended process again, as the platform does. */
  restart(member: IMember): void {
    this.#record.add("restart", { name: member.name });
    this.#run(member);
  }

  /** Ends all processes and removes their files. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const { child } of [...this.stores, ...this.entries]) {
      this.#expectedEnds.add(child);
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = once(child, "exit");
      child.kill("SIGKILL");
      await ended;
    }
    this.#list.close();
    this.#list.closeAllConnections();
    await rm(this.#folder, { recursive: true, force: true });
  }

  #killAll(): void {
    for (const { child } of [...this.stores, ...this.entries]) {
      child.kill("SIGKILL");
    }
  }

  async #spawn(role: IMember["role"], index: number): Promise<IMember> {
    const isStore = role === "store";
    const address = `${this.#prefix}.${(isStore ? 1 : 101) + index}`;
    const name = `${role}-${index + 1}`;
    const dataFolder = isStore ? join(this.#folder, name) : null;
    if (dataFolder) await mkdir(dataFolder);
    const listen = isStore ? { control: `${address}:${PORTS.control}` } : {
      front: `${address}:${PORTS.front}`,
      ready: `${address}:${PORTS.ready}`,
    };
    const seeds = [1, 2, 3].map((host) =>
      `${this.#prefix}.${host}:${PORTS.control}`
    );
    const settings = {
      ...{ node: name, role, ip: address, zone: "zone-a", listen, seeds },
      "port-range": PORT_RANGE,
      bootstrap: true,
      "data-dir": dataFolder,
      tolerate: { machines: 1, zones: 0, regions: 0 },
      bounds: {
        ...{ "contact-ms": 3_000, "ack-ms": 4_000, "drain-ms": 3_000 },
        ...{ "grace-s": 8, "config-ms": 2_000, "recovery-s": 12 },
        ...{ "finish-s": 18, "status-s": 120, "cancel-ms": 3_000 },
        "settle-ms": 1_000,
      },
      cloud: { address: `127.0.0.1:${this.#listPort}`, "rate-per-s": 87 },
    };
    const settingsPath = join(this.#folder, `${name}.json`);
    await writeFile(settingsPath, JSON.stringify(settings));
    const member = {
      ...{ name, role, address, settingsPath, dataFolder, ownEnds: 0 },
    } as IMember;
    this.#run(member);
    return member;
  }

  #run(member: IMember): void {
    const { role, settingsPath, name } = member;
    const [program = "", ...parameters] = this.#commands[role] ?? [];
    const child = spawn(program, parameters, {
      env: { PATH: process.env.PATH, FIGROAD_CONFIG: settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    member.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream?.setEncoding("utf8").on("data", (text: string) => {
        this.logs += text;
      });
    }
    child.once("exit", (code, signal) => {
      if (this.#expectedEnds.has(child)) return;
      member.ownEnd = `code ${code}, signal ${signal}`;
      member.ownEnds += 1;
      this.#record.add("own-end", { name, code, signal });
      setTimeout(() => {
        if (!this.#isStopped) this.restart(member);
      }, RESTART_DELAY_MILLISECONDS);
    });
  }
}
