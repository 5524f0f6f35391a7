import type { ClockWatch, Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { keyPermissionChanged } from "./events.ts";

/**
 * Share of the time within which withdrawn keys must stop working for which
 * confirmed routes are trusted. The rest is left for a request between its
 * check and its first byte at an engine.
 */
const TRUSTED_SHARE = 0.7;

/** Time for which routes count as current if withdrawals have no bound. */
const CURRENT_MILLISECONDS = 2_000;

/** How fast withdrawn keys must stop working on every instance. */
export interface IWithdrawalBound {
  /** Whether instances without contact to the leader have to obey as well. */
  readonly isStrict: boolean;
  readonly milliseconds: number;
}

/** When the leader was asked about the routes. */
export interface IRoutesQuestion {
  readonly askedAt: Deadline;
  /** Disturbances of this instance's clocks until then. */
  readonly disturbances: number;
}

/**
 * Decides whether this instance may rely on the callers' keys that it knows.
 *
 * The leader confirms that its routes are the newest as of a point in time.
 * They are trusted for a limited time from then on, since a key may be
 * withdrawn at any moment after it.
 */
export class KeyPermission {
  #clock: IClock;
  #watch: ClockWatch;
  #events: IEventLog;
  #bound: IWithdrawalBound;
  #version: () => number;
  #confirmedAt: Deadline | undefined;
  /** The question that the leader has answered. */
  #question: IRoutesQuestion | undefined;
  #wasValid = false;

  /** @param options.version version of the routes that are in force here. */
  constructor(clock: IClock, options: {
    watch: ClockWatch;
    events: IEventLog;
    bound: IWithdrawalBound;
    version: () => number;
  }) {
    this.#clock = clock;
    this.#watch = options.watch;
    this.#events = options.events;
    this.#bound = options.bound;
    this.#version = options.version;
  }

  /** Begins to ask the leader whether the routes are the newest. */
  ask(): IRoutesQuestion {
    const { disturbances } = this.#watch;
    return { askedAt: this.#clock.monotonic(), disturbances };
  }

  /**
   * Records the answer: the routes in force here were the newest at most a
   * number of milliseconds before the leader was asked.
   */
  confirm(question: IRoutesQuestion, ageMilliseconds: number): void {
    const { askedAt } = question;
    if (this.#question && askedAt < this.#question.askedAt) return;
    this.#question = question;
    this.#confirmedAt = askedAt - ageMilliseconds as Deadline;
  }

  /** Whether withdrawals have a bound that every instance has to keep. */
  get isStrict(): boolean {
    return this.#bound.isStrict;
  }

  /** Whether a key that is known here may be accepted. */
  get mayAccept(): boolean {
    return !this.#bound.isStrict || this.isCurrent;
  }

  /**
   * Whether the routes are current enough to call a key unknown. Computed at
   * each access, so that a process that was frozen notices it at once.
   */
  get isCurrent(): boolean {
    const { isStrict, milliseconds } = this.#bound;
    const trusted = isStrict
      ? milliseconds * TRUSTED_SHARE
      : CURRENT_MILLISECONDS;
    const isCurrent = this.#confirmedAt !== undefined &&
      this.#clock.monotonic() - this.#confirmedAt < trusted &&
      this.#question?.disturbances === this.#watch.disturbances;
    this.#report(isCurrent);
    return isCurrent;
  }

  /**
   * Time since the confirmation, in milliseconds; infinite before the first,
   * and after the clocks were disturbed.
   */
  get unconfirmedMilliseconds(): number {
    if (this.#question?.disturbances !== this.#watch.disturbances) {
      return Infinity;
    }
    return this.ageMilliseconds ?? Infinity;
  }

  /** Time since the confirmation, in milliseconds; undefined before one. */
  get ageMilliseconds(): number | undefined {
    if (this.#confirmedAt === undefined) return undefined;
    return Math.round(this.#clock.monotonic() - this.#confirmedAt);
  }

  #report(isValid: boolean): void {
    if (isValid === this.#wasValid) return;
    this.#wasValid = isValid;
    this.#events.emit(keyPermissionChanged, {
      isValid,
      version: this.#version(),
      ageMilliseconds: this.ageMilliseconds,
    });
  }
}
