import { type ChildProcess, spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtemp, open, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { applyConfiguration, fetchJson } from "./http.ts";
import { reservePorts } from "./ports.ts";
import { Relay } from "./relay.ts";

const DAEMON = fileURLToPath(
  new URL("../src/daemon/figroadd.js", import.meta.url),
);
const ENGINE = fileURLToPath(new URL("./run_engine.js", import.meta.url));

const READY_TIMEOUT_MILLISECONDS = 30_000;

/** An instance of a fleet, with its daemon process. */
export interface IFleetInstance {
  readonly id: string;
  readonly settingsPath: string;
  readonly dataFolder: string | undefined;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly peersPort: number;
  process: ChildProcess;
}

/** A stand-in engine of a fleet, with its process. */
export interface IFleetEngine {
  readonly id: string;
  readonly port: number;
  readonly url: string;
  process: ChildProcess;
}

/** Options of a fleet. */
export interface IFleetOptions {
  instances: number;
  voters: number;
  engines: number;
  engineOptions?: object;
  /** Ports of further engines, which this fleet does not start. */
  enginePorts?: readonly number[];
  /** Whether RPCs to each voter pass through a relay. */
  voterRelays?: boolean;
  /** Modifies the generated configuration before it is applied. */
  // deno-lint-ignore no-explicit-any
  configure?: (document: any) => void;
  /** Modifies the generated settings of each instance. */
  // deno-lint-ignore no-explicit-any
  settings?: (settings: any) => void;
}

/** API key of the caller `station`, which sends live requests. */
export const LIVE_CALLER_KEY = "station-key";

/** API key of the caller `committee`, which may submit batch jobs. */
export const BATCH_CALLER_KEY = "committee-key";

/** Fleet of daemons and stand-in engines in separate processes. */
export class Fleet {
  readonly folder: string;
  readonly instances: IFleetInstance[] = [];
  readonly engines: IFleetEngine[] = [];
  /** Relays in front of the voters, by instance id. */
  readonly voterRelays = new Map<string, Relay>();

  private constructor(folder: string) {
    this.folder = folder;
  }

  /** Starts the processes and applies the configuration. */
  static async start(options: IFleetOptions): Promise<Fleet> {
    const folder = await mkdtemp(join(tmpdir(), "figroad-fleet-"));
    const fleet = new Fleet(folder);
    await fleet.#startEngines(options);
    await fleet.#startInstances(options);
    const document = fleet.#buildConfiguration(options);
    const [first] = fleet.instances;
    if (first) await applyConfiguration(first.operatorsUrl, document);
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Returns instances whose process ended, except by SIGKILL. */
  crashed(): IFleetInstance[] {
    return this.instances.filter(({ process: { exitCode, signalCode } }) =>
      exitCode !== null || (signalCode !== null && signalCode !== "SIGKILL")
    );
  }

  /** Starts a new process for an instance. */
  async restart(instance: IFleetInstance): Promise<void> {
    instance.process = await this.#spawnDaemon(instance.settingsPath);
  }

  /** Resolves when the readiness check of every instance succeeds. */
  async waitUntilReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MILLISECONDS;
    for (const { operatorsUrl: operators, id } of this.instances) {
      while (!await isReady(operators)) {
        if (Date.now() > deadline) throw new Error(`${id} is not ready`);
        await sleep(50);
      }
    }
  }

  /** Kills all processes and, unless `keepFiles` is set, deletes the files. */
  async stop(options = { keepFiles: false }): Promise<void> {
    const children = [...this.instances, ...this.engines];
    await Promise.all(children.map(({ process }) => kill(process, "SIGKILL")));
    this.voterRelays.forEach((relay) => relay.dispose());
    if (options.keepFiles) return;
    await rm(this.folder, { recursive: true, force: true });
  }

  async #startEngines(options: IFleetOptions): Promise<void> {
    const ports = await reservePorts(options.engines);
    for (const [index, port] of ports.entries()) {
      const settings = JSON.stringify(options.engineOptions ?? {});
      const child = spawn(process.execPath, [ENGINE, `${port}`, settings], {
        stdio: ["ignore", "ignore", "inherit"],
      });
      const url = `http://127.0.0.1:${port}`;
      this.engines.push({ id: `engine-${index}`, port, url, process: child });
    }
  }

  async #startInstances(options: IFleetOptions): Promise<void> {
    const ports = await reservePorts(options.instances * 3);
    const port = (index: number, kind: number) => ports[index * 3 + kind] ?? 0;
    const voters = [];
    for (let index = 0; index < options.voters; index++) {
      const id = `instance-${index}`;
      voters.push({
        id,
        address: "127.0.0.1",
        port: options.voterRelays
          ? await this.#startRelay(id, port(index, 1))
          : port(index, 1),
        failureDomain: `domain-${index % 3}`,
      });
    }
    for (let index = 0; index < options.instances; index++) {
      const id = `instance-${index}`;
      const dataFolder = index < options.voters
        ? join(this.folder, id)
        : undefined;
      const address = "127.0.0.1";
      const settings = {
        instance: {
          id,
          fleet: basename(this.folder).toLowerCase(),
          region: "test",
          failureDomain: `domain-${index % 3}`,
        },
        callers: { address, port: port(index, 0) },
        peers: { address, port: port(index, 1) },
        operators: { address, port: port(index, 2) },
        voters,
        control: dataFolder ? { dataFolder } : undefined,
      };
      options.settings?.(settings);
      const settingsPath = join(this.folder, `${id}.jsonc`);
      await writeFile(settingsPath, JSON.stringify(settings, undefined, 2));
      this.instances.push({
        id,
        settingsPath,
        dataFolder,
        callersUrl: `http://${address}:${port(index, 0)}`,
        operatorsUrl: `http://${address}:${port(index, 2)}`,
        peersPort: port(index, 1),
        process: await this.#spawnDaemon(settingsPath),
      });
    }
  }

  async #startRelay(id: string, port: number): Promise<number> {
    const relay = new Relay(port);
    this.voterRelays.set(id, relay);
    return await relay.listen();
  }

  async #spawnDaemon(settingsPath: string): Promise<ChildProcess> {
    const log = await open(`${settingsPath}.log`, "a");
    const child = spawn(process.execPath, [
      DAEMON,
      "--settings",
      settingsPath,
    ], {
      stdio: ["ignore", log.fd, log.fd],
    });
    await log.close();
    return child;
  }

  #buildConfiguration(options: IFleetOptions): object {
    const caller = (name: string, group: string, key: string) => ({
      name,
      group,
      keySha256: createHash("sha256").update(key).digest("hex"),
      limits: { requestsPerSecond: 10_000, concurrentRequests: 10_000 },
    });
    const document = {
      places: [{
        region: "test",
        failureDomains: ["domain-0", "domain-1", "domain-2"],
      }],
      services: [{ name: "alerts", model: "alert-writer" }],
      engines: [
        ...this.engines.map(({ port }) => port),
        ...options.enginePorts ?? [],
      ].map((port, index) => ({
        id: `engine-${index}`,
        service: "alerts",
        address: "127.0.0.1",
        port,
        failureDomain: `domain-${index % 3}`,
        checksFencing: true,
      })),
      callers: [
        caller("station", "live", LIVE_CALLER_KEY),
        caller("committee", "batch", BATCH_CALLER_KEY),
      ],
      rules: [
        { callers: ["station"], services: ["alerts"] },
        { callers: ["committee"], services: ["alerts"], batch: true },
      ],
    };
    options.configure?.(document);
    return document;
  }
}

/** Sends a signal; resolves when the process has exited. */
export function kill(
  child: ChildProcess,
  signal: NodeJS.Signals,
): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode);
  }
  return new Promise((resolve) => {
    child.once("exit", (code) => resolve(code));
    child.kill(signal);
  });
}

async function isReady(operators: string): Promise<boolean> {
  try {
    return (await fetchJson(`${operators}/ready`)).status === 200;
  } catch {
    return false;
  }
}
