import type { Result } from "neverthrow";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import type { CallerRecord, IServiceGrant } from "../configuration/mod.ts";

/** A live request that asks to be admitted. */
export interface IAdmissionRequest {
  readonly caller: CallerRecord;
  readonly grant: IServiceGrant;
  readonly deadline: Deadline;
}

/** Decides at once whether a live request is taken. */
export interface IAdmission {
  /**
   * Takes a request, or refuses it with `limit-exceeded` or `overloaded`
   * and the time to come back. Disposing of the ticket ends the request.
   */
  admit(request: IAdmissionRequest): Result<IDisposable, Failure>;
}

/** Limits retries to a share of the first attempts. */
export interface IRetryBudget {
  /** Counts a first attempt. */
  deposit(): void;
  /** Takes a retry out of the budget; false when it is spent. */
  withdraw(): boolean;
}
