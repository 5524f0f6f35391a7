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

/** Share of the lease that the holder uses, to allow for clock drift. */
const CLOCK_DRIFT_FACTOR = 0.95;

/** Timeout of a call to the leader, in milliseconds. */
const CONTROL_TIMEOUT_MILLISECONDS = 2_000;

/**
 * This instance's lease on items.
 *
 * Its duration is counted from the time at which a request was sent, so that
 * the holder stops before the leader grants the items to others.
 */
export class ItemLeaseHolder {
  #control: IControlClient;
  #clock: IClock;
  #id: string = randomUUID();
  #expiresAt: Deadline | undefined;

  constructor(control: IControlClient, clock: IClock) {
    this.#control = control;
    this.#clock = clock;
  }

  /** Whether items of this lease may run now. */
  get isHeld(): boolean {
    return this.#expiresAt !== undefined &&
      !this.#clock.isPast(this.#expiresAt);
  }

  /** Starts a new lease; items of the old one must no longer run. */
  restart(): void {
    this.#id = randomUUID();
    this.#expiresAt = undefined;
  }

  async leaseItems(
    service: string,
    maximum: number,
  ): Promise<Result<LeasedItem[], Failure>> {
    const leaseId = this.#id;
    const expiresAt = this.#nextExpiry();
    const answer = await this.#control.call(
      leaseItemsMethod,
      { leaseId, service, maximum },
      this.#callOptions(),
    );
    if (answer.isErr()) return err(answer.error);
    const { items } = answer.value;
    if (items.length === 0) return ok([]);
    if (leaseId !== this.#id || this.#clock.isPast(expiresAt)) return ok([]);
    this.#expiresAt = expiresAt;
    return ok(items);
  }

  /** Extends the lease; resolves with the jobs that must stop. */
  async renew(jobIds: string[]): Promise<string[]> {
    const leaseId = this.#id;
    const expiresAt = this.#nextExpiry();
    const answer = await this.#control.call(
      renewLeaseMethod,
      { leaseId, jobIds },
      this.#callOptions(),
    );
    if (answer.isErr() || leaseId !== this.#id) return [];
    const { held, stoppedJobs } = answer.value;
    this.#expiresAt = held ? expiresAt : this.#clock.monotonic();
    return stoppedJobs;
  }

  #nextExpiry(): Deadline {
    return this.#clock.deadlineIn(LEASE_MILLISECONDS * CLOCK_DRIFT_FACTOR);
  }

  #callOptions() {
    return { deadline: this.#clock.deadlineIn(CONTROL_TIMEOUT_MILLISECONDS) };
  }
}
