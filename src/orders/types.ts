import type { Result } from "neverthrow";
import type { Deadline, Failure } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { EngineOrder, EngineState } from "../targets/mod.ts";

/** Gives orders to engines while this instance may. */
export interface IOrderIssuer {
  /**
   * Gives an order. Fails with `not-leader` and the verdict `not-run` when
   * this instance does not hold the lease.
   */
  issue(engine: Engine, order: EngineOrder): Promise<
    Result<EngineState, Failure>
  >;
  /** Whether orders to the engine may begin now. */
  mayIssue(engine: Engine): boolean;
}

/** Moves a cached prefix from one engine to another. */
export interface ICacheTransfer {
  transfer(
    move: { prefix: string; from: string; to: string },
    options: { deadline: Deadline },
  ): Promise<Result<void, Failure>>;
}
