import { err, type Result } from "neverthrow";
import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  invariant,
  notRun,
} from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type {
  EngineOrder,
  EngineState,
  IEngineAdapter,
} from "../targets/mod.ts";
import { orderCarriedOut, orderFailed, orderRefused } from "./events.ts";
import type { IOrderIssuer } from "./types.ts";

export const ORDER_TIMEOUT_MILLISECONDS = 60_000;

/**
 * Time for which a new leader issues no orders to engines that do not check
 * fencing numbers. Orders that the previous leader started within its lease
 * have completed or timed out by then.
 */
export const UNFENCED_ORDER_DELAY_MILLISECONDS = ORDER_TIMEOUT_MILLISECONDS +
  5_000;

const FENCING_NUMBERS_PER_TERM = 1_000_000;

export interface IOrderIssuerOptions {
  readonly engines: IEngineAdapter;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/**
 * Issues orders to engines on the log's leader, each with a fencing number.
 *
 * The number is composed of the term and a count within it, so it never
 * decreases, also across leaders.
 */
export class OrderIssuer implements IOrderIssuer, IDisposable {
  #log: IReplicatedLog;
  #engines: IEngineAdapter;
  #clock: IClock;
  #events: IEventLog;
  #term = 0;
  #countInTerm = 0;
  #lastFencingNumber = 0;
  #unfencedAllowedAt: Deadline;
  #subscription: IDisposable;

  constructor(log: IReplicatedLog, options: IOrderIssuerOptions) {
    this.#log = log;
    this.#engines = options.engines;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#unfencedAllowedAt = options.clock.deadlineIn(
      UNFENCED_ORDER_DELAY_MILLISECONDS,
    );
    this.#subscription = log.onLeadershipChange(() => this.#startTerm());
    this.#startTerm();
  }

  mayIssue(engine: Engine): boolean {
    return this.#holdsLease() &&
      (engine.checksFencing || this.#clock.isPast(this.#unfencedAllowedAt));
  }

  async issue(
    engine: Engine,
    order: EngineOrder,
  ): Promise<Result<EngineState, Failure>> {
    const deadline = this.#clock.deadlineIn(ORDER_TIMEOUT_MILLISECONDS);
    // No await may come between this check and the call, as the lease could
    // expire in the meantime.
    if (!this.mayIssue(engine)) {
      return err(
        notRun(
          "not-leader",
          "this instance may not issue orders to the engine now",
        ),
      );
    }
    const fencingNumber = this.#nextFencingNumber();
    const answer = await this.#engines.order(engine, order, {
      deadline,
      fencingNumber,
    });
    const fields = { engine: engine.id, order: order.kind };
    answer.match(
      () => this.#events.emit(orderCarriedOut, { ...fields, fencingNumber }),
      ({ code, message }) =>
        code === "conflict"
          ? this.#events.emit(orderRefused, { ...fields, fencingNumber })
          : this.#events.emit(orderFailed, { ...fields, reason: message }),
    );
    return answer;
  }

  dispose(): void {
    this.#subscription.dispose();
  }

  #startTerm(): void {
    const { isLeader, term } = this.#log.leadership;
    if (!isLeader || term === this.#term) return;
    invariant(term > this.#term, "leader term decreased");
    this.#term = term;
    this.#countInTerm = 0;
    this.#unfencedAllowedAt = this.#clock.deadlineIn(
      UNFENCED_ORDER_DELAY_MILLISECONDS,
    );
  }

  #holdsLease(): boolean {
    const { leadership, leaseUntil } = this.#log;
    return leadership.isLeader && leadership.term === this.#term &&
      leaseUntil !== undefined && !this.#clock.isPast(leaseUntil);
  }

  /**
   * When the numbers of a term are used up, the last one is repeated. Engines
   * accept equal numbers.
   */
  #nextFencingNumber(): number {
    this.#countInTerm = Math.min(
      this.#countInTerm + 1,
      FENCING_NUMBERS_PER_TERM - 1,
    );
    const number = this.#term * FENCING_NUMBERS_PER_TERM + this.#countInTerm;
    invariant(number >= this.#lastFencingNumber, "fencing number decreased");
    this.#lastFencingNumber = number;
    return number;
  }
}
