import type { Result } from "neverthrow";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import type { CallerRecord, IServiceGrant } from "../configuration/mod.ts";
import type { Borrowing, Loan } from "./messages.ts";

/** A live request that asks to be admitted. */
export interface IAdmissionRequest {
  readonly caller: CallerRecord;
  readonly grant: IServiceGrant;
  readonly deadline: Deadline;
  /** Most tokens that the answer may have, if the request says so. */
  readonly maximumTokens?: number;
}

/**
 * Decides whether a live request is taken: at once, or after one question to
 * another instance when the own part of a caller's limits is used up.
 */
export interface IAdmission {
  /**
   * Takes a request, or refuses it with `limit-exceeded` or `overloaded`
   * and the time to come back. Disposing of the ticket ends the request.
   */
  admit(request: IAdmissionRequest): Promise<Result<IDisposable, Failure>>;
  /** Checks the caller's limits alone, for plain services. */
  admitCaller(caller: CallerRecord): Promise<Result<IDisposable, Failure>>;
}

/** Limits retries to a share of the first attempts. */
export interface IRetryBudget {
  /** Whether `withdraw` would refuse. */
  readonly isSpent: boolean;
  /** Counts a first attempt. */
  deposit(): void;
  /** Takes a retry out of the budget; false when it is spent. */
  withdraw(): boolean;
}

/** What a live stream of a service experienced or may expect. */
export interface ILatencyEstimate {
  readonly firstTokenMilliseconds: number;
  /** Time between two tokens. */
  readonly tokenMilliseconds: number;
  readonly tokensPerAnswer: number;
}

/** Learns the latencies of the services. */
export interface ILatencyEstimates {
  /** Undefined while nothing recent is known. */
  estimateOf(service: string): ILatencyEstimate | undefined;
  observe(service: string, observed: ILatencyEstimate): void;
}

/** Where the lent parts of callers' limits come from. */
export interface ILimitOwners {
  /** Instances that callers' limits are divided by. */
  readonly instances: number;
  /** Borrows from the instance that owns the caller's limits. */
  borrow(borrowing: Borrowing): Promise<Result<Loan, Failure>>;
}
