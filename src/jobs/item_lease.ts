import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Deadline, Failure, IClock } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { LEASE_MILLISECONDS } from "./lease_manager.ts";
import {
  type LeasedItem,
  leaseItemsMethod,
  renewLeaseMethod,
} from "./messages.ts";

/** Share of the lease after which the holder stops, for clock drift. */
const DRIFT_FACTOR = 0.95;

/** Time that a call to the leader may take, in milliseconds. */
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;

/**
 * This instance's lease on items.
 *
 * Its end is counted from when a request was sent, so that the holder stops
 * before the leader gives the items to others.
 */
export class ItemLeaseHolder {
  #control: IControlClient;
  #clock: IClock;
  #id: string = randomUUID();
  #until: Deadline | undefined;

  constructor(control: IControlClient, clock: IClock) {
    this.#control = control;
    this.#clock = clock;
  }

  /** Whether items of this lease may run now. */
  get isHeld(): boolean {
    return this.#until !== undefined && !this.#clock.isPast(this.#until);
  }

  /** Begins a new lease; the items of the old one must not run any more. */
  restart(): void {
    this.#id = randomUUID();
    this.#until = undefined;
  }

  async take(
    service: string,
    maximum: number,
  ): Promise<Result<LeasedItem[], Failure>> {
    const leaseId = this.#id;
    const until = this.#nextEnd();
    const answer = await this.#control.call(
      leaseItemsMethod,
      { leaseId, service, maximum },
      this.#deadline(),
    );
    if (answer.isErr()) return err(answer.error);
    const { items } = answer.value;
    if (items.length === 0) return ok([]);
    if (leaseId !== this.#id || this.#clock.isPast(until)) return ok([]);
    this.#until = until;
    return ok(items);
  }

  /** Extends the lease; resolves with the jobs that must stop. */
  async renew(jobIds: string[]): Promise<string[]> {
    const leaseId = this.#id;
    const until = this.#nextEnd();
    const answer = await this.#control.call(
      renewLeaseMethod,
      { leaseId, jobIds },
      this.#deadline(),
    );
    if (answer.isErr() || leaseId !== this.#id) return [];
    const { held, stoppedJobs } = answer.value;
    this.#until = held ? until : this.#clock.monotonic();
    return stoppedJobs;
  }

  #nextEnd(): Deadline {
    return this.#clock.deadlineIn(LEASE_MILLISECONDS * DRIFT_FACTOR);
  }

  #deadline() {
    return { deadline: this.#clock.deadlineIn(CONTROL_TIMEOUT_MILLISECONDS) };
  }
}
