import { createHash } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startDaemon } from "../src/composition/mod.ts";
import type { IDaemon } from "../src/daemon/types.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import { settingsSchema } from "../src/settings/mod.ts";
import { EngineStandin } from "./engine_standin.ts";
import { eventually } from "./eventually.ts";
import { applyConfiguration, fetchJson } from "./http.ts";
import { engineInventory } from "./engine_inventory.ts";

/** API keys of the callers `first` and `second`. */
export const FIRST_KEY = "first-key";
export const SECOND_KEY = "second-key";

/** Options of a local fleet. */
export interface ILocalFleetOptions {
  instances: number;
  engines: number;
  /** Modifies the generated configuration before it is applied. */
  // deno-lint-ignore no-explicit-any
  configure?: (document: any) => void;
}

/** Instances and stand-in engines in this process; instance 0 is the voter. */
export class LocalFleet {
  readonly engines: EngineStandin[] = [];
  readonly #daemons: IDaemon[] = [];
  readonly #folder: string;

  private constructor(folder: string) {
    this.#folder = folder;
  }

  static async start(options: ILocalFleetOptions): Promise<LocalFleet> {
    const folder = await mkdtemp(join(tmpdir(), "figroad-local-"));
    const fleet = new LocalFleet(folder);
    const ports: number[] = [];
    for (let index = 0; index < options.engines; index++) {
      const engine = new EngineStandin();
      fleet.engines.push(engine);
      ports.push(await engine.listen());
    }
    for (let index = 0; index < options.instances; index++) {
      await fleet.#startInstance(index);
    }
    const document = configuration(ports);
    options.configure?.(document);
    await applyConfiguration(fleet.#operators(0), document);
    await eventually("instances are ready", () => fleet.#isReady());
    return fleet;
  }

  /** Returns the base URL at which callers reach an instance. */
  url(index: number): string {
    return `http://127.0.0.1:${this.#daemons[index]?.ports.callers}`;
  }

  async stop(): Promise<void> {
    for (const engine of this.engines) engine.destroy();
    for (const daemon of this.#daemons.reverse()) await daemon.stop();
    await rm(this.#folder, { recursive: true, force: true });
  }

  /** Counts the generations of a prompt started at all engines. */
  countStartedRuns(prompt: string): number {
    const counts = this.engines.map(({ startedRuns }) =>
      startedRuns.get(prompt) ?? 0
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  #operators(index: number): string {
    return `http://127.0.0.1:${this.#daemons[index]?.ports.operators}`;
  }

  async #isReady(): Promise<boolean> {
    const answers = await Promise.all(
      this.#daemons.map((_, index) =>
        fetchJson(`${this.#operators(index)}/ready`)
      ),
    );
    return answers.every(({ status }) => status === 200);
  }

  async #startInstance(index: number): Promise<void> {
    const listener = { address: "127.0.0.1", port: 0 };
    const voterPort = this.#daemons[0]?.ports.peers ?? 0;
    const settings = settingsSchema.parse({
      instance: { id: `instance-${index}`, region: "r", failureDomain: "a" },
      callers: listener,
      peers: listener,
      operators: listener,
      voters: [{
        id: "instance-0",
        address: "127.0.0.1",
        port: voterPort,
        failureDomain: "a",
      }],
      control: index === 0 ? { dataFolder: this.#folder } : undefined,
    });
    this.#daemons.push(await startDaemon(settings, new SilentEventLog()));
  }
}

function configuration(ports: number[]): object {
  const caller = (name: string, key: string) => ({
    name,
    group: "live",
    keySha256: createHash("sha256").update(key).digest("hex"),
  });
  return {
    places: [{ region: "r", failureDomains: ["a"] }],
    ...engineInventory(ports),
    plainServices: [],
    callers: [caller("first", FIRST_KEY), caller("second", SECOND_KEY)],
    rules: [{ callers: ["first", "second"], services: ["alerts"] }],
  };
}
