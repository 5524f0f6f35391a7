import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { ICallersServer } from "../entry/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { stopLimitReached, stopStep } from "./events.ts";

/** Time limit for telling the leader that this instance is leaving. */
const ANNOUNCE_TIMEOUT_MILLISECONDS = 2_000;

/** Time limit for transferring leadership to another voter. */
const TRANSFER_TIMEOUT_MILLISECONDS = 5_000;

/** Time limit for making the log's last writes durable. */
const LOG_STOP_TIMEOUT_MILLISECONDS = 5_000;

/** Time limits of a planned stop. */
export interface IStopLimits {
  /** Time for the load balancer to see that the instance is not ready. */
  readonly noticeMilliseconds: number;
  /** Time after which requests in progress are cut off. */
  readonly limitMilliseconds: number;
}

/** Components that take part in a planned stop. */
export interface IStoppableComponents {
  readonly membership: { setState(state: "leaving"): Promise<void> };
  readonly log: IReplicatedLog | undefined;
  readonly callers: ICallersServer;
  /** Stops batch work; unfinished items are released. */
  readonly batch: { stop(): Promise<void> };
  /** Resources that are disposed of last. */
  readonly resources: IDisposable;
}

/**
 * Stops an instance without cutting off requests in progress.
 *
 * Every step has a time limit, so the process exits even if the leader, a
 * voter or a caller does not answer.
 */
export class GracefulStop {
  #components: IStoppableComponents;
  #clock: IClock;
  #events: IEventLog;
  #limits: IStopLimits;
  #running: Promise<void> | undefined;

  constructor(
    components: IStoppableComponents,
    limits: IStopLimits,
    options: { clock: IClock; events: IEventLog },
  ) {
    this.#components = components;
    this.#limits = limits;
    this.#clock = options.clock;
    this.#events = options.events;
  }

  /** Whether the stop has started; from then on the instance is not ready. */
  get hasStarted(): boolean {
    return this.#running !== undefined;
  }

  /** Runs the steps once; later calls return the same promise. */
  run(): Promise<void> {
    this.#running ??= this.#run();
    return this.#running;
  }

  async #run(): Promise<void> {
    const { membership, log, callers, batch, resources } = this.#components;
    const noticeDeadline = this.#clock.deadlineIn(
      this.#limits.noticeMilliseconds,
    );
    const limitDeadline = this.#clock.deadlineIn(
      this.#limits.limitMilliseconds,
    );
    const batchStopped = this.#runStep(
      "release-batch",
      batch.stop(),
      limitDeadline,
    );
    await this.#runStep(
      "tell-leader",
      membership.setState("leaving"),
      this.#clock.deadlineIn(ANNOUNCE_TIMEOUT_MILLISECONDS),
    );
    const transferred = log?.leadership.isLeader
      ? this.#transferLeadership(log)
      : Promise.resolve();
    // Requests are still served until the load balancer has noticed.
    await this.#clock.sleepUntil(noticeDeadline);
    const drained = await this.#runStep(
      "finish-requests",
      callers.drain(),
      limitDeadline,
    );
    if (!drained) {
      const requests = callers.activeRequests;
      this.#events.emit(stopLimitReached, { requests });
    }
    await Promise.all([batchStopped, transferred]);
    if (log) {
      const deadline = this.#clock.deadlineIn(LOG_STOP_TIMEOUT_MILLISECONDS);
      await this.#runStep("stop-log", log.stop(), deadline);
    }
    resources.dispose();
  }

  async #transferLeadership(log: IReplicatedLog): Promise<void> {
    const deadline = this.#clock.deadlineIn(TRANSFER_TIMEOUT_MILLISECONDS);
    const transfer = log.transferLeadership({ deadline });
    await this.#runStep("hand-over-leadership", transfer, deadline);
  }

  /** Waits for a step until the deadline; returns whether it completed. */
  async #runStep(
    step: string,
    work: Promise<unknown>,
    deadline: Deadline,
  ): Promise<boolean> {
    const settled = new AbortController();
    let hasFailed = false;
    work.catch(() => hasFailed = true).finally(() => settled.abort());
    await this.#clock.sleepUntil(deadline, settled.signal);
    const isCompleted = settled.signal.aborted && !hasFailed;
    this.#events.emit(stopStep, { step, completed: isCompleted });
    return isCompleted;
  }
}
