import type { Deadline, IClock } from "../common/mod.ts";
import type { CallerRecord } from "../configuration/mod.ts";
import { divideLimits } from "./limit_parts.ts";
import type { Borrowing, Loan } from "./messages.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Time for which the borrower may use lent slots. */
export const LOAN_DURATION_MILLISECONDS = 3_000;

/**
 * Time by which the lender keeps a loan longer than the borrower, so that a
 * slot is never lent twice.
 */
const LOAN_MARGIN_MILLISECONDS = 1_000;

/** Maximum number of callers whose loans are kept. */
const MAXIMUM_CALLERS = 2_000;

interface ISlotLoan {
  slots: number;
  until: Deadline;
}

interface ICallerLoans {
  requests: TokenBucket;
  slots: Map<string, ISlotLoan>;
}

/** Lends the lent part of callers' limits, on the instance that owns them. */
export class LimitLender {
  #clock: IClock;
  #callers = new Map<string, ICallerLoans>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  /** Grants a loan to one instance, at most what is free. */
  lend(caller: CallerRecord, borrower: string, borrowing: Borrowing): Loan {
    const instances = Math.max(1, borrowing.instances);
    const parts = divideLimits(caller, instances);
    const loans = this.#loansOf(caller.name);
    loans.requests.setRate(parts.requestsPerSecond.lent);
    const equalShare = Math.floor(loans.requests.available / instances);
    const wanted = borrowing.requests === 0
      ? 0
      : Math.max(borrowing.requests, equalShare);
    const requests = loans.requests.take(wanted);
    const slots = this.#lendSlots(loans, borrower, {
      wanted: borrowing.slots,
      total: parts.slots.lent,
    });
    return { requests, slots };
  }

  #lendSlots(
    loans: ICallerLoans,
    borrower: string,
    options: { wanted: number; total: number },
  ): number {
    let free = options.total;
    for (const [holder, loan] of loans.slots) {
      if (this.#clock.isPast(loan.until)) loans.slots.delete(holder);
      else if (holder !== borrower) free -= loan.slots;
    }
    const slots = Math.max(0, Math.min(options.wanted, free));
    const duration = LOAN_DURATION_MILLISECONDS + LOAN_MARGIN_MILLISECONDS;
    loans.slots.set(borrower, {
      slots,
      until: this.#clock.deadlineIn(duration),
    });
    return slots;
  }

  #loansOf(caller: string): ICallerLoans {
    const known = this.#callers.get(caller);
    if (known) return known;
    const [oldest] = this.#callers.keys();
    if (this.#callers.size >= MAXIMUM_CALLERS && oldest !== undefined) {
      this.#callers.delete(oldest);
    }
    const loans = { requests: new TokenBucket(this.#clock), slots: new Map() };
    this.#callers.set(caller, loans);
    return loans;
  }
}
