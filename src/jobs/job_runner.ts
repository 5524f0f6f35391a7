import { randomUUID } from "node:crypto";
import type { IClock, IDisposable } from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { ItemRunner } from "./item_runner.ts";
import {
  type ItemOutcome,
  jobsSection,
  type LeasedItem,
  leaseItemsMethod,
  renewLeaseMethod,
} from "./messages.ts";

/** Batch streams of one service that one instance runs at once. */
const STREAMS_PER_SERVICE = 8;

/** Pause after a service had no items, in milliseconds. */
const IDLE_PAUSE_MILLISECONDS = 200;

/** How often leases are renewed, in milliseconds. */
const RENEWAL_INTERVAL_MILLISECONDS = 1_000;

/** How often outcomes are sent, in milliseconds. */
const FLUSH_INTERVAL_MILLISECONDS = 50;

/** Time that a call to the leader may take, in milliseconds. */
const CONTROL_TIMEOUT_MILLISECONDS = 5_000;

/** Leases items, runs them and records their outcomes. */
export class JobRunner implements IDisposable {
  #control: IControlClient;
  #items: ItemRunner;
  #configuration: IConfigurationSource;
  #clock: IClock;
  #stop = new AbortController();
  #leaseId: string = randomUUID();
  #running = new Map<string, AbortController>();
  #outcomes: ItemOutcome[] = [];

  constructor(
    control: IControlClient,
    items: ItemRunner,
    options: { configuration: IConfigurationSource; clock: IClock },
  ) {
    this.#control = control;
    this.#items = items;
    this.#configuration = options.configuration;
    this.#clock = options.clock;
  }

  /** Starts the tasks that lease, renew and record. */
  start(): void {
    void this.#every(RENEWAL_INTERVAL_MILLISECONDS, () => this.#renew());
    void this.#every(FLUSH_INTERVAL_MILLISECONDS, () => this.#flush());
    void this.#every(IDLE_PAUSE_MILLISECONDS, () => this.#leaseAll());
  }

  dispose(): void {
    this.#stop.abort();
    for (const abort of this.#running.values()) abort.abort();
  }

  async #every(interval: number, step: () => Promise<void>): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await step();
      await this.#clock.sleepUntil(this.#clock.deadlineIn(interval), signal);
    }
  }

  async #leaseAll(): Promise<void> {
    const services = this.#configuration.current?.document.services ?? [];
    for (const service of services) {
      const maximum = STREAMS_PER_SERVICE - this.#running.size;
      if (maximum <= 0) return;
      const leased = await this.#control.call(leaseItemsMethod, {
        leaseId: this.#leaseId,
        service: service.name,
        maximum,
      }, this.#deadline());
      if (leased.isErr()) continue;
      for (const item of leased.value.items) void this.#run(item);
    }
  }

  async #run(item: LeasedItem): Promise<void> {
    const key = `${item.jobId}/${item.index}`;
    const abort = new AbortController();
    this.#running.set(key, abort);
    const outcome = await this.#items.run(item, abort.signal);
    this.#running.delete(key);
    this.#outcomes.push(outcome);
  }

  async #renew(): Promise<void> {
    const jobOf = (key: string) => key.slice(0, key.lastIndexOf("/"));
    const jobIds = [...new Set([...this.#running.keys()].map(jobOf))];
    if (jobIds.length === 0) return;
    const answer = await this.#control.call(
      renewLeaseMethod,
      { leaseId: this.#leaseId, jobIds },
      this.#deadline(),
    );
    if (answer.isErr()) return;
    const { held, stoppedJobs } = answer.value;
    if (!held) this.#leaseId = randomUUID();
    for (const [key, abort] of this.#running) {
      if (!held || stoppedJobs.includes(jobOf(key))) abort.abort();
    }
  }

  async #flush(): Promise<void> {
    const outcomes = this.#outcomes;
    if (outcomes.length === 0) return;
    this.#outcomes = [];
    const command = { kind: "complete" as const, outcomes };
    const answer = await this.#control.propose(
      jobsSection,
      command,
      this.#deadline(),
    );
    // Recording an outcome twice is harmless, so it is sent until it arrives.
    if (answer.isErr()) this.#outcomes.unshift(...outcomes);
  }

  #deadline() {
    return { deadline: this.#clock.deadlineIn(CONTROL_TIMEOUT_MILLISECONDS) };
  }
}
