import type { IClock, IDisposable } from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { ItemRunner } from "./item_runner.ts";
import {
  type ItemOutcome,
  jobsSection,
  type LeasedItem,
  leaseItemsMethod,
  renewLeasesMethod,
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
  #running = new Map<string, { leaseId: string; abort: AbortController }>();
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
    for (const { abort } of this.#running.values()) abort.abort();
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
        service: service.name,
        maximum,
      }, this.#deadline());
      if (leased.isErr()) continue;
      const { leaseId, items } = leased.value;
      for (const item of items) {
        if (leaseId !== undefined) void this.#run(item, leaseId);
      }
    }
  }

  async #run(item: LeasedItem, leaseId: string): Promise<void> {
    const key = `${item.jobId}/${item.index}`;
    const abort = new AbortController();
    this.#running.set(key, { leaseId, abort });
    const outcome = await this.#items.run(item, abort.signal);
    this.#running.delete(key);
    this.#outcomes.push(outcome);
  }

  async #renew(): Promise<void> {
    const leaseIds = [
      ...new Set([...this.#running.values()].map(({ leaseId }) => leaseId)),
    ];
    if (leaseIds.length === 0) return;
    const answer = await this.#control.call(
      renewLeasesMethod,
      { leaseIds },
      this.#deadline(),
    );
    if (answer.isErr()) return;
    const { lost, cancelledJobs } = answer.value;
    for (const [key, { leaseId, abort }] of this.#running) {
      const jobId = key.slice(0, key.lastIndexOf("/"));
      if (lost.includes(leaseId) || cancelledJobs.includes(jobId)) {
        abort.abort();
      }
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
