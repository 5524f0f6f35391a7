import type { Result } from "neverthrow";
import type { Deadline, Failure } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { EngineOrder, EngineState } from "../targets/mod.ts";

/** Issues orders to engines while this instance holds the lease. */
export interface IOrderIssuer {
  /**
   * Issues an order. Fails with `not-leader` and the verdict `not-run` if
   * this instance may not issue orders to the engine.
   */
  issue(engine: Engine, order: EngineOrder): Promise<
    Result<EngineState, Failure>
  >;
  /** Whether an order to the engine may be issued now. */
  mayIssue(engine: Engine): boolean;
}

/** Moves a cached prefix from one engine to another. */
export interface ICacheTransfer {
  transfer(
    move: { prefix: string; from: string; to: string },
    options: { deadline: Deadline },
  ): Promise<Result<void, Failure>>;
}
