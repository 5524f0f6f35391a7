import { Agent } from "node:http";
import { z } from "zod";
import { Emitter, type IClock, type IDisposable } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { exchange, readBody } from "../targets/http_exchange.ts";
import {
  type IPlatformAdapter,
  type PlatformEntry,
  platformEntrySchema,
} from "../targets/mod.ts";
import { platformListRestored, platformListUnreadable } from "./events.ts";

/** Path under which the platform serves its target list. */
const LIST_PATH = "/instances";

const POLL_INTERVAL_MILLISECONDS = 1_000;

const POLL_TIMEOUT_MILLISECONDS = 3_000;

const listSchema = z.object({ entries: z.array(platformEntrySchema) });

/** Address at which the platform serves its target list. */
export interface IPlatformAddress {
  readonly address: string;
  readonly port: number;
}

/** Polls the platform's target list, a JSON document, over HTTP. */
export class HttpPlatformAdapter implements IPlatformAdapter, IDisposable {
  #platform: IPlatformAddress;
  #clock: IClock;
  #events: IEventLog;
  #agent = new Agent({ keepAlive: true });
  #entries: readonly PlatformEntry[] = [];
  #lastText = "";
  #isReadable = true;
  #change = new Emitter<readonly PlatformEntry[]>();
  readonly onChange = this.#change.event;
  #stop = new AbortController();

  constructor(
    platform: IPlatformAddress,
    clock: IClock,
    options: { events: IEventLog },
  ) {
    this.#platform = platform;
    this.#clock = clock;
    this.#events = options.events;
  }

  get entries(): readonly PlatformEntry[] {
    return this.#entries;
  }

  /** Starts the task that polls the list. */
  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stop.abort();
    this.#change.dispose();
    this.#agent.destroy();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(POLL_INTERVAL_MILLISECONDS);
      await this.#poll();
      await this.#clock.sleepUntil(next, signal);
    }
  }

  async #poll(): Promise<void> {
    try {
      this.#update(await this.#read());
      if (!this.#isReadable) this.#events.emit(platformListRestored, {});
      this.#isReadable = true;
    } catch (error) {
      if (this.#stop.signal.aborted || !this.#isReadable) return;
      this.#isReadable = false;
      const { address, port } = this.#platform;
      this.#events.emit(platformListUnreadable, {
        address: `${address}:${port}`,
        reason: String(error),
      });
    }
  }

  async #read(): Promise<string> {
    const options = {
      clock: this.#clock,
      deadline: this.#clock.deadlineIn(POLL_TIMEOUT_MILLISECONDS),
    };
    const message = { ...this.#platform, method: "GET", path: LIST_PATH };
    const response = await exchange(message, {
      ...options,
      agent: this.#agent,
      signal: this.#stop.signal,
    });
    const text = (await readBody(response, options)).toString("utf8");
    if (response.statusCode === 200) return text;
    throw new Error(`platform answered with status ${response.statusCode}`);
  }

  #update(text: string): void {
    if (text === this.#lastText) return;
    this.#entries = listSchema.parse(JSON.parse(text)).entries;
    this.#lastText = text;
    this.#change.fire(this.#entries);
  }
}
