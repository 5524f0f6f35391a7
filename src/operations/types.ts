import type { Result } from "neverthrow";
import type { Failure } from "../common/mod.ts";
import type { IDeadlineOptions } from "../consensus/mod.ts";

/** Names a non-idempotent request over the whole fleet. */
export interface IOperationKey {
  readonly caller: string;
  readonly key: string;
}

/** Answer of a non-idempotent request, kept for repeated requests. */
export interface IOperationAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Outcome of trying to begin a non-idempotent request. */
export type OperationBeginning =
  /** This request may run, once. */
  | { readonly kind: "begun" }
  /** An earlier request with this key has completed. */
  | { readonly kind: "completed"; readonly answer: IOperationAnswer }
  /** An earlier request with this key began; its outcome is not known. */
  | { readonly kind: "in-progress" };

/** Durable record of non-idempotent requests, replicated over the voters. */
export interface IOperationLedger {
  /**
   * Records that a request begins, before its first byte goes to a target.
   * After a failure with the verdict `may-have-run` the record may exist;
   * the request must then not be run.
   */
  begin(
    key: IOperationKey,
    options: IDeadlineOptions & { fingerprint: string },
  ): Promise<Result<OperationBeginning, Failure>>;
  /** Records the answer of a request that began. */
  complete(
    key: IOperationKey,
    answer: IOperationAnswer,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>>;
  /** Takes back a beginning whose request provably did not run. */
  abandon(
    key: IOperationKey,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>>;
}
