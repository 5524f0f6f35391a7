import type { Result } from "neverthrow";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import type { CallerRecord, IServiceGrant } from "../configuration/mod.ts";
import type { Borrowing, Loan } from "./messages.ts";

/** A live request that asks to be admitted. */
export interface IAdmissionRequest {
  readonly caller: CallerRecord;
  readonly grant: IServiceGrant;
  readonly deadline: Deadline;
  /** Upper bound of the answer's tokens, if the request has one. */
  readonly maximumTokens?: number;
}

/**
 * Decides whether a live request is admitted. It decides at once, or after
 * borrowing from another instance when this instance's part of the caller's
 * limits is used up.
 */
export interface IAdmission {
  /**
   * Admits a request, or refuses it with `limit-exceeded` or `overloaded` and
   * the time after which the caller may retry. Disposing of the result ends the
   * request.
   */
  admit(request: IAdmissionRequest): Promise<Result<IDisposable, Failure>>;
  /** Checks only the caller's limits, for plain services. */
  admitCaller(caller: CallerRecord): Promise<Result<IDisposable, Failure>>;
}

/** Limits retries to a share of the first attempts. */
export interface IRetryBudget {
  /** Whether `withdraw` would refuse. */
  readonly isSpent: boolean;
  /** Counts a first attempt. */
  deposit(): void;
  /** Takes a retry out of the budget; returns false when it is spent. */
  withdraw(): boolean;
}

/** Latencies of a service's live streams, observed or estimated. */
export interface ILatencyEstimate {
  readonly firstTokenMilliseconds: number;
  /** Time between two tokens. */
  readonly tokenMilliseconds: number;
  readonly tokensPerAnswer: number;
}

/** Estimates the latencies of services from observations. */
export interface ILatencyEstimates {
  /** Returns undefined without a recent observation. */
  estimateOf(service: string): ILatencyEstimate | undefined;
  observe(service: string, observed: ILatencyEstimate): void;
}

/** Source of loans from the lent parts of callers' limits. */
export interface ILimitOwners {
  /** Number of instances between which callers' limits are divided. */
  readonly instances: number;
  /** Borrows from the instance that owns the caller's limits. */
  borrow(borrowing: Borrowing): Promise<Result<Loan, Failure>>;
}

/** Admits requests at engines that limit how many they take. */
export interface IEngineRateLimiter {
  /** Whether the engine limits its requests. */
  isLimited(engine: string): boolean;
  /** Milliseconds until a request may be sent to the engine; 0 if now. */
  waitMilliseconds(engine: string): number;
  /** Whether requests to the engine are better saved for a burst. */
  isScarce(engine: string): boolean;
  /** Counts a request that is sent to the engine. */
  take(engine: string): void;
}

/** Admits the starts of items as well. */
export interface IItemRateLimiter extends IEngineRateLimiter {
  /** Number of items that may start at the engine now. */
  startableItems(engine: string): number;
  /** Counts the start of an item at the engine. */
  takeForItem(engine: string): void;
}
