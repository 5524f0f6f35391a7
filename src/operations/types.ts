import type { Result } from "neverthrow";
import type { Failure } from "../common/mod.ts";
import type { IDeadlineOptions } from "../consensus/mod.ts";
import type { OperationAnswer } from "./messages.ts";

/** Identifies a non-idempotent request across the whole fleet. */
export interface IOperationKey {
  readonly caller: string;
  readonly key: string;
}

/** One request to run the operation identified by its key. */
export interface IOperation extends IOperationKey {
  /** Unique to each request that an instance receives. */
  readonly attempt: string;
}

/** Answer of a non-idempotent request, kept for repeated requests. */
export type IOperationAnswer = OperationAnswer;

/** Outcome of trying to begin a non-idempotent request. */
export type BeginOutcome =
  /** This request may run, once. */
  | { readonly kind: "begun" }
  /** An earlier request with this key has completed. */
  | { readonly kind: "completed"; readonly answer: IOperationAnswer }
  /** An earlier request has completed; its answer was not kept. */
  | { readonly kind: "answer-dropped" }
  /** An earlier request with this key began; its outcome is not known. */
  | { readonly kind: "in-progress" };

/** Durable record of non-idempotent requests, replicated to the voters. */
export interface IOperationLedger {
  /**
   * Records that a request begins. Must succeed before the first byte of the
   * request is sent to a target.
   *
   * Fails with `conflict` when the key was used for another request, and
   * with `overloaded` when the limit of records is reached. After any failure
   * the request must not be run; the record may exist nevertheless.
   */
  begin(
    operation: IOperation,
    options: IDeadlineOptions & { fingerprint: string },
  ): Promise<Result<BeginOutcome, Failure>>;
  /** Records the answer; undefined when it is too long to keep. */
  complete(
    operation: IOperation,
    answer: IOperationAnswer | undefined,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>>;
  /** Withdraws the beginning of a request that provably did not run. */
  abandon(
    operation: IOperation,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>>;
}
