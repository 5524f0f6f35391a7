import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { CallerRecord } from "../configuration/mod.ts";
import { LOAN_DURATION_MILLISECONDS } from "./limit_lender.ts";
import { divideLimits } from "./limit_parts.ts";
import { TokenBucket } from "./token_bucket.ts";
import type { ILimitOwners } from "./types.ts";

/** Pause after a loan that failed or granted less than was asked for. */
const BORROW_PAUSE_MILLISECONDS = 250;

/** Age at which a loan is renewed while its slots are in use. */
const RENEW_AFTER_MILLISECONDS = 1_000;

/** Time after which a caller at its limit may retry. */
const RETRY_AFTER_SECONDS = 1;

/** Enforces one caller's limits on this instance. */
export class CallerLimits {
  #owners: ILimitOwners;
  #clock: IClock;
  #caller: CallerRecord;
  #fixedBucket: TokenBucket;
  #borrowedRequests = 0;
  #used = 0;
  #waiting = 0;
  #fixedSlots = 0;
  #borrowedSlots = 0;
  #loanUntil: Deadline | undefined;
  #renewFrom: Deadline | undefined;
  #pauseUntil: Deadline | undefined;
  #pendingLoan: Promise<void> | undefined;

  constructor(caller: CallerRecord, owners: ILimitOwners, clock: IClock) {
    this.#caller = caller;
    this.#owners = owners;
    this.#clock = clock;
    this.#fixedBucket = new TokenBucket(clock);
  }

  /** Requests in progress on this instance. */
  get used(): number {
    return this.#used;
  }

  /** Whether no request of the caller is in progress or waits for a loan. */
  get isIdle(): boolean {
    return this.#used === 0 && this.#waiting === 0;
  }

  /**
   * Admits one request. If this instance's part of the limits is used up, it
   * borrows once and tries again.
   */
  async admit(caller: CallerRecord): Promise<Result<IDisposable, Failure>> {
    this.#caller = caller;
    this.#updateFixedParts();
    if (this.#tryTake()) return ok(this.#createTicket());
    this.#waiting += 1;
    try {
      await this.#borrow();
    } finally {
      this.#waiting -= 1;
    }
    return this.#tryTake() ? ok(this.#createTicket()) : err(this.#refusal());
  }

  /** Renews the loan before it expires if borrowed slots are in use. */
  async renew(): Promise<void> {
    if (this.#renewFrom === undefined) return;
    if (!this.#clock.isPast(this.#renewFrom)) return;
    if (this.#used > this.#fixedSlots) await this.#borrow();
    else this.#renewFrom = undefined;
  }

  #updateFixedParts(): void {
    const parts = divideLimits(this.#caller, this.#owners.instances);
    this.#fixedSlots = parts.slots.fixed;
    this.#fixedBucket.setRate(parts.requestsPerSecond.fixed);
  }

  get #slots(): number {
    const isLent = this.#loanUntil !== undefined &&
      !this.#clock.isPast(this.#loanUntil);
    return this.#fixedSlots + (isLent ? this.#borrowedSlots : 0);
  }

  #tryTake(): boolean {
    if (this.#used >= this.#slots) return false;
    if (this.#fixedBucket.take(1) === 0) {
      if (this.#borrowedRequests < 1) return false;
      this.#borrowedRequests -= 1;
    }
    this.#used += 1;
    return true;
  }

  #createTicket(): IDisposable {
    let held = true;
    return {
      dispose: () => {
        if (held) this.#used -= 1;
        held = false;
      },
    };
  }

  /** Borrows for all waiting requests in one call. */
  #borrow(): Promise<void> {
    if (this.#pendingLoan) return this.#pendingLoan;
    if (this.#pauseUntil && !this.#clock.isPast(this.#pauseUntil)) {
      return Promise.resolve();
    }
    this.#pendingLoan = this.#requestLoan().finally(() =>
      this.#pendingLoan = undefined
    );
    return this.#pendingLoan;
  }

  async #requestLoan(): Promise<void> {
    // Requests that arrive in the same turn of the event loop share the call.
    await Promise.resolve();
    const loanUntil = this.#clock.deadlineIn(LOAN_DURATION_MILLISECONDS);
    const renewFrom = this.#clock.deadlineIn(RENEW_AFTER_MILLISECONDS);
    const wanted = this.#used + this.#waiting - this.#fixedSlots;
    const held = this.#fixedBucket.available + this.#borrowedRequests;
    const requests = held < this.#waiting ? this.#waiting : 0;
    const loan = await this.#owners.borrow({
      caller: this.#caller.name,
      instances: this.#owners.instances,
      requests,
      slots: Math.max(0, wanted),
    });
    if (loan.isErr()) return this.#pauseBorrowing();
    this.#borrowedRequests += loan.value.requests;
    this.#borrowedSlots = loan.value.slots;
    this.#loanUntil = loanUntil;
    this.#renewFrom = renewFrom;
    const isShort = loan.value.requests < requests || loan.value.slots < wanted;
    if (isShort) this.#pauseBorrowing();
  }

  #pauseBorrowing(): void {
    this.#pauseUntil = this.#clock.deadlineIn(BORROW_PAUSE_MILLISECONDS);
  }

  #refusal(): Failure {
    const { name, limits } = this.#caller;
    const isFull = this.#used >= this.#slots;
    const reason = isFull
      ? `${name} has ${limits.concurrentRequests} requests in progress`
      : `${name} sends more than ${limits.requestsPerSecond} requests a second`;
    return notRun("limit-exceeded", reason, {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }
}
