import type { Result } from "neverthrow";
import type { Failure, IClock } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";

/** Time that a shared barrier may take, in milliseconds. */
const BARRIER_TIMEOUT_MILLISECONDS = 2_000;

/** A barrier that all calls waiting at the same time pass together. */
export class SharedBarrier {
  #log: IReplicatedLog;
  #clock: IClock;
  #running: Promise<unknown> = Promise.resolve();
  #next: Promise<Result<void, Failure>> | undefined;

  constructor(log: IReplicatedLog, clock: IClock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Passes a barrier that begins after this call. */
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
