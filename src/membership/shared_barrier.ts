import type { Result } from "neverthrow";
import type { Failure, IClock } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";

const BARRIER_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Combines barriers of the replicated log: calls that wait at the same time
 * share one barrier.
 */
export class SharedBarrier {
  #log: IReplicatedLog;
  #clock: IClock;
  #running: Promise<unknown> = Promise.resolve();
  #next: Promise<Result<void, Failure>> | undefined;

  constructor(log: IReplicatedLog, clock: IClock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Waits for a barrier that starts after this call. */
  wait(): Promise<Result<void, Failure>> {
    this.#next ??= this.#start();
    return this.#next;
  }

  async #start(): Promise<Result<void, Failure>> {
    await this.#running;
    this.#next = undefined;
    const deadline = this.#clock.deadlineIn(BARRIER_TIMEOUT_MILLISECONDS);
    const barrier = this.#log.barrier({ deadline });
    this.#running = barrier.catch(() => {});
    return await barrier;
  }
}
