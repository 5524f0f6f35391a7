import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { ICallersServer } from "../entry/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { stopLimitReached, stopStep } from "./events.ts";

/** Time for telling the leader that this instance leaves. */
const TELL_TIMEOUT_MILLISECONDS = 2_000;

/** Time for handing over leadership, in milliseconds. */
const TRANSFER_TIMEOUT_MILLISECONDS = 5_000;

/** Time for making the log's last writes durable, in milliseconds. */
const LOG_STOP_TIMEOUT_MILLISECONDS = 5_000;

/** Waits of a planned stop. */
export interface IStopLimits {
  /** Time in which the balancer notices that the instance is not ready. */
  readonly noticeMilliseconds: number;
  /** Time after which requests in progress are cut off. */
  readonly limitMilliseconds: number;
}

/** What a planned stop acts on. */
export interface IStoppedParts {
  readonly membership: { setState(state: "leaving"): Promise<void> };
  readonly log: IReplicatedLog | undefined;
  readonly callers: ICallersServer;
  /** Ends batch work; items that did not finish are given back. */
  readonly batch: { stop(): Promise<void> };
  /** Everything that is closed last. */
  readonly rest: IDisposable;
}

/**
 * Stops an instance without cutting off requests in progress.
 *
 * Every step is bounded, so the process ends even when the leader, a voter
 * or a caller does not answer.
 */
export class GracefulStop {
  #parts: IStoppedParts;
  #clock: IClock;
  #events: IEventLog;
  #limits: IStopLimits;
  #running: Promise<void> | undefined;

  constructor(
    parts: IStoppedParts,
    limits: IStopLimits,
    options: { clock: IClock; events: IEventLog },
  ) {
    this.#parts = parts;
    this.#limits = limits;
    this.#clock = options.clock;
    this.#events = options.events;
  }

  /** Whether the stop has begun; the instance is not ready from then on. */
  get hasBegun(): boolean {
    return this.#running !== undefined;
  }

  /** Runs the steps once; later calls wait for the same run. */
  run(): Promise<void> {
    this.#running ??= this.#run();
    return this.#running;
  }

  async #run(): Promise<void> {
    const { membership, log, callers, batch, rest } = this.#parts;
    const notice = this.#clock.deadlineIn(this.#limits.noticeMilliseconds);
    const limit = this.#clock.deadlineIn(this.#limits.limitMilliseconds);
    const batchStopped = this.#step("release-batch", batch.stop(), limit);
    await this.#step(
      "tell-leader",
      membership.setState("leaving"),
      this.#clock.deadlineIn(TELL_TIMEOUT_MILLISECONDS),
    );
    const transferred = log?.leadership.isLeader
      ? this.#transfer(log)
      : Promise.resolve();
    // Callers are still served while the balancer has not noticed yet.
    await this.#clock.sleepUntil(notice);
    const drained = await this.#step("finish-requests", callers.drain(), limit);
    if (!drained) {
      const requests = callers.activeRequests;
      this.#events.emit(stopLimitReached, { requests });
    }
    await Promise.all([batchStopped, transferred]);
    if (log) {
      const deadline = this.#clock.deadlineIn(LOG_STOP_TIMEOUT_MILLISECONDS);
      await this.#step("stop-log", log.stop(), deadline);
    }
    rest.dispose();
  }

  async #transfer(log: IReplicatedLog): Promise<void> {
    const deadline = this.#clock.deadlineIn(TRANSFER_TIMEOUT_MILLISECONDS);
    const transfer = log.transferLeadership({ deadline });
    await this.#step("hand-over-leadership", transfer, deadline);
  }

  /** Waits for a step until the deadline; resolves with whether it ended. */
  async #step(
    step: string,
    work: Promise<unknown>,
    deadline: Deadline,
  ): Promise<boolean> {
    const ended = new AbortController();
    let hasFailed = false;
    work.catch(() => hasFailed = true).finally(() => ended.abort());
    await this.#clock.sleepUntil(deadline, ended.signal);
    const isDone = ended.signal.aborted && !hasFailed;
    this.#events.emit(stopStep, { step, completed: isDone });
    return isDone;
  }
}
