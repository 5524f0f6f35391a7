import { match } from "ts-pattern";
import type { Failure, IClock, IDisposable } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import {
  type CancelReason,
  EngineStreams,
  type IEngineStreamsOptions,
  type IItemSource,
} from "./engine_streams.ts";
import { leaseLost } from "./events.ts";
import { ItemQueue } from "./item_queue.ts";
import type { IHeldItem } from "./item_attempt.ts";
import { ItemLeaseHolder } from "./item_lease_holder.ts";
import type { ItemOutcome } from "./messages.ts";
import { OutcomeSender } from "./outcome_sender.ts";
import { errorLine } from "./result_line.ts";

/** Pause between leases of items for free streams, in milliseconds. */
const LEASE_INTERVAL_MILLISECONDS = 50;

/** Pause before leasing for a service that had no items, in milliseconds. */
const IDLE_PAUSE_MILLISECONDS = 250;

/** Pause between renewals of the lease, in milliseconds. */
const RENEWAL_INTERVAL_MILLISECONDS = 1_000;

/** Pause between checks whether the lease has ended, in milliseconds. */
const LEASE_CHECK_INTERVAL_MILLISECONDS = 100;

/** Items leased in advance, as a share of the allowed streams. */
const PREFETCH_SHARE = 0.25;

/** Items leased in advance in addition to that share. */
const PREFETCH_EXTRA_ITEMS = 2;

/** Maximum number of items leased by one call. */
const MAXIMUM_ITEMS_PER_LEASE_CALL = 200;

/**
 * Time in the queue after which an item is returned to the leader, in
 * milliseconds.
 */
const MAXIMUM_QUEUE_TIME_MILLISECONDS = 5_000;

/**
 * Attempts with an unknown outcome after which an item is returned to the
 * leader.
 */
const MAXIMUM_LOCAL_FAILURES = 2;

/** Maximum wait for streams and outcomes when stopping, in milliseconds. */
const STOP_TIMEOUT_MILLISECONDS = 10_000;

/** Pause between checks while stopping, in milliseconds. */
const STOP_POLL_INTERVAL_MILLISECONDS = 20;

/** Leases items, runs them on the owned engines and records the outcomes. */
export class JobRunner implements IItemSource, IDisposable {
  #options: IEngineStreamsOptions;
  #clock: IClock;
  #lease: ItemLeaseHolder;
  #outcomes: OutcomeSender;
  #queue = new ItemQueue();
  #streams: EngineStreams;
  #idleUntil = new Map<string, number>();
  #stop = new AbortController();

  constructor(control: IControlClient, options: IEngineStreamsOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#lease = new ItemLeaseHolder(control, options.clock);
    this.#outcomes = new OutcomeSender(control, options);
    this.#streams = new EngineStreams(this, options);
  }

  /** Number of running streams. */
  get streams(): number {
    return this.#streams.size;
  }

  /** Starts to lease items, renew the lease and record outcomes. */
  start(): void {
    this.#outcomes.start();
    void this.#runPeriodically(
      RENEWAL_INTERVAL_MILLISECONDS,
      () => this.#renew(),
    );
    void this.#runPeriodically(
      LEASE_INTERVAL_MILLISECONDS,
      () => this.#leaseForAllServices(),
    );
    void this.#runPeriodically(
      LEASE_CHECK_INTERVAL_MILLISECONDS,
      () => this.#checkLease(),
    );
  }

  /**
   * Releases queued and idempotent items. Waits for running non-idempotent
   * items and unrecorded outcomes, up to a timeout.
   */
  async stop(): Promise<void> {
    this.#stop.abort();
    this.#queue.remove(() => true).forEach((held) => this.#release(held));
    this.#streams.cancel("stopped", ({ item }) => item.idempotent);
    const limit = this.#clock.deadlineIn(STOP_TIMEOUT_MILLISECONDS);
    while (this.#streams.size + this.#outcomes.unrecordedCount > 0) {
      if (this.#clock.isPast(limit)) break;
      await this.#clock.sleepUntil(
        this.#clock.deadlineIn(STOP_POLL_INTERVAL_MILLISECONDS),
      );
    }
    this.dispose();
  }

  dispose(): void {
    this.#stop.abort();
    this.#streams.dispose();
    this.#outcomes.dispose();
  }

  take(engine: Engine): IHeldItem | undefined {
    if (this.#stop.signal.aborted || !this.#lease.isHeld) return undefined;
    return this.#queue.take(engine, this.#clock.monotonic());
  }

  done({ item }: IHeldItem, line: string): void {
    this.#outcomes.add(outcomeOf(item, "done", line));
  }

  failed(held: IHeldItem, engine: Engine, failure: Failure): void {
    const { item } = held;
    const line = errorLine(item, failure);
    if (failure.code === "bad-request") {
      return this.#outcomes.add(outcomeOf(item, "failed", line));
    }
    if (failure.verdict === "not-run") return this.#enqueue(held, engine.id);
    if (!item.idempotent) {
      return this.#outcomes.add(outcomeOf(item, "may-have-run", line));
    }
    held.failures += 1;
    held.failureLine = line;
    if (held.failures < MAXIMUM_LOCAL_FAILURES) {
      return this.#enqueue(held, engine.id);
    }
    this.#outcomes.add(outcomeOf(item, "again", line));
  }

  cancelled(held: IHeldItem, reason: CancelReason): void {
    match(reason)
      .with("yield", () => this.#enqueue(held, undefined))
      .with("stopped", () => this.#reportCancelled(held))
      .with("lost", () => {})
      .exhaustive();
  }

  #enqueue(held: IHeldItem, engineId: string | undefined): void {
    if (this.#stop.signal.aborted) return this.#release(held);
    if (!this.#lease.isHeld) return;
    held.avoidedEngineId = engineId;
    held.queuedAt = this.#clock.monotonic();
    this.#queue.add(held);
  }

  /** Reports an item whose stream was cancelled because the runner stops. */
  #reportCancelled(held: IHeldItem): void {
    if (held.item.idempotent) return this.#release(held);
    this.#outcomes.add(outcomeOf(held.item, "may-have-run", ""));
  }

  /** Returns an item to the leader without counting a failure. */
  #release({ item }: IHeldItem): void {
    this.#outcomes.add(outcomeOf(item, "released", ""));
  }

  async #runPeriodically(
    interval: number,
    step: () => Promise<void> | void,
  ): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await step();
      await this.#clock.sleepUntil(this.#clock.deadlineIn(interval), signal);
    }
  }

  async #leaseForAllServices(): Promise<void> {
    this.#releaseStale();
    this.#streams.adjustAll();
    const services = this.#options.configuration.current?.document.services;
    await Promise.all(
      (services ?? []).map(({ name }) => this.#leaseForService(name)),
    );
    this.#streams.adjustAll();
  }

  async #leaseForService(service: string): Promise<void> {
    const { configuration, allowance } = this.#options;
    const idleUntil = this.#idleUntil.get(service) ?? 0;
    if (this.#outcomes.isFull || idleUntil > this.#clock.monotonic()) return;
    const owned = new Set(allowance.ownedEngines);
    const allowed = (configuration.current?.enginesOf(service) ?? [])
      .filter(({ id }) => owned.has(id))
      .reduce((sum, { id }) => sum + allowance.limitOf(id), 0);
    if (allowed === 0) return;
    const running = this.#streams.items
      .filter(({ item }) => item.service === service).length;
    const prefetch = Math.ceil(allowed * PREFETCH_SHARE) + PREFETCH_EXTRA_ITEMS;
    const held = running + this.#queue.count(service);
    const wanted = Math.min(
      allowed + prefetch - held,
      MAXIMUM_ITEMS_PER_LEASE_CALL,
    );
    if (wanted < prefetch / 2) return;
    const taken = await this.#lease.leaseItems(service, wanted);
    const items = taken.unwrapOr([]);
    if (items.length === 0) {
      const pause = this.#clock.deadlineIn(IDLE_PAUSE_MILLISECONDS);
      this.#idleUntil.set(service, pause);
    }
    for (const item of items) {
      this.#queue.add({
        item,
        text: "",
        tokens: 0,
        failures: 0,
        failureLine: "",
        avoidedEngineId: undefined,
        queuedAt: this.#clock.monotonic(),
      });
    }
  }

  #releaseStale(): void {
    const oldest = this.#clock.monotonic() - MAXIMUM_QUEUE_TIME_MILLISECONDS;
    const stale = this.#queue.remove((held) => held.queuedAt < oldest);
    // A queued item is idempotent or provably did not run.
    for (const { item, failures, failureLine } of stale) {
      const status = failures > 0 ? "again" : "released";
      this.#outcomes.add(outcomeOf(item, status, failureLine));
    }
  }

  async #renew(): Promise<void> {
    const held = [...this.#streams.items, ...this.#queue.all];
    if (held.length === 0) return;
    const jobIds = [...new Set(held.map(({ item }) => item.jobId))];
    const stopped = new Set(await this.#lease.renew(jobIds));
    const isStopped = ({ item }: IHeldItem) => stopped.has(item.jobId);
    this.#queue.remove(isStopped);
    this.#streams.cancel("lost", isStopped);
    this.#checkLease();
  }

  /** Cancels all streams and drops queued items once the lease has ended. */
  #checkLease(): void {
    if (this.#lease.isHeld) return;
    if (this.#streams.size === 0 && this.#queue.all.length === 0) return;
    const items = this.#streams.size + this.#queue.all.length;
    this.#options.events.emit(leaseLost, { items });
    this.#streams.cancel("lost", () => true);
    this.#queue.remove(() => true);
    this.#lease.restart();
  }
}

function outcomeOf(
  item: { jobId: string; index: number; attempt: number },
  status: ItemOutcome["status"],
  line: string,
): ItemOutcome {
  const { jobId, index, attempt } = item;
  return { jobId, index, attempt, status, line };
}
