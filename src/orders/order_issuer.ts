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

/** Time that an order may take, in milliseconds. */
export const ORDER_TIMEOUT_MILLISECONDS = 60_000;

/**
 * Time for which a new leader gives no orders to engines that ignore fencing
 * numbers, in milliseconds. Orders that the earlier leader began within its
 * lease have ended by then.
 */
export const UNFENCED_ORDER_DELAY_MILLISECONDS = ORDER_TIMEOUT_MILLISECONDS +
  5_000;

/** Fencing numbers that one term has. */
const FENCING_NUMBERS_PER_TERM = 1_000_000;

/** Collaborators of the issuer. */
export interface IOrderIssuerOptions {
  readonly engines: IEngineAdapter;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/**
 * Gives orders on the log's leader, each with a higher fencing number.
 *
 * The number is made of the term and a count, so it rises over all leaders.
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
    // Nothing may wait between this check and the call.
    if (!this.mayIssue(engine)) {
      return err(notRun("not-leader", "orders may not be given here now"));
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
    invariant(term > this.#term, "the term of a leader went back");
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

  /** The last number of a term is used again; engines accept equal ones. */
  #nextFencingNumber(): number {
    this.#countInTerm = Math.min(
      this.#countInTerm + 1,
      FENCING_NUMBERS_PER_TERM - 1,
    );
    const number = this.#term * FENCING_NUMBERS_PER_TERM + this.#countInTerm;
    invariant(number >= this.#lastFencingNumber, "a fencing number went back");
    this.#lastFencingNumber = number;
    return number;
  }
}
