import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import { type IControlClient, leaderStatusMethod } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { recordLost, recordReached } from "./events.ts";

/**
 * Time without an answer after which the record counts as out of reach, in
 * milliseconds. An election after the loss of a leader takes up to 2,500.
 */
const UNAVAILABLE_AFTER_MILLISECONDS = 3_000;

/** Pause between two looks for a leader with a quorum, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 250;

/** Longest wait for an answer to such a look, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Seconds after which a refused caller may come back; an election's time. */
const RETRY_AFTER_SECONDS = 2;

/** Collaborators of a `RecordReach`. */
export interface IAvailabilityMonitorOptions {
  readonly control: IControlClient;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/**
 * Knows whether the record of operations answers.
 *
 * While it does not, nobody can begin an operation, so that callers are
 * refused at once instead of waiting for their deadline.
 */
export class AvailabilityMonitor implements IDisposable {
  #options: IAvailabilityMonitorOptions;
  #unansweredSince: Deadline | undefined;
  #isOutageLogged = false;
  #abort = new AbortController();

  constructor(options: IAvailabilityMonitorOptions) {
    this.#options = options;
  }

  /** Point at which the record counts as lost; undefined while it answers. */
  get unavailableAt(): Deadline | undefined {
    const since = this.#unansweredSince;
    if (since === undefined) return undefined;
    return since + UNAVAILABLE_AFTER_MILLISECONDS as Deadline;
  }

  get isUnavailable(): boolean {
    const { unavailableAt } = this;
    return unavailableAt !== undefined &&
      this.#options.clock.isPast(unavailableAt);
  }

  /** The record has answered. */
  reportAnswer(): void {
    const since = this.#unansweredSince;
    if (since === undefined) return;
    this.#unansweredSince = undefined;
    if (!this.#isOutageLogged) return;
    this.#isOutageLogged = false;
    const { clock, events } = this.#options;
    const silenceMilliseconds = Math.round(clock.monotonic() - since);
    events.emit(recordReached, { silenceMilliseconds });
  }

  /** A call that began at a point in time got no answer. */
  reportNoAnswer(begunAt: Deadline): void {
    if (this.#unansweredSince !== undefined) return;
    this.#unansweredSince = begunAt;
    void this.#probe();
  }

  /** Failure for callers that come while the record is out of reach. */
  outageFailure(): Failure {
    const since = this.#unansweredSince ?? this.#options.clock.monotonic();
    const silence = Math.round(this.#options.clock.monotonic() - since);
    const reason = "the record of at-most-once requests has not answered " +
      `for ${silence} ms: no quorum of the control voters is in reach`;
    return notRun("unavailable", reason, {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }

  dispose(): void {
    this.#abort.abort();
  }

  /** Looks for a leader with a quorum until one answers. */
  async #probe(): Promise<void> {
    const { control, clock } = this.#options;
    const { signal } = this.#abort;
    while (this.#unansweredSince !== undefined && !signal.aborted) {
      await clock.sleepUntil(
        clock.deadlineIn(PROBE_INTERVAL_MILLISECONDS),
        signal,
      );
      if (signal.aborted) return;
      const status = await control.call(leaderStatusMethod, {}, {
        deadline: clock.deadlineIn(PROBE_TIMEOUT_MILLISECONDS),
      });
      if (status.isOk()) this.reportAnswer();
      else if (this.isUnavailable) this.#logOutage(status.error.message);
    }
  }

  #logOutage(reason: string): void {
    if (this.#isOutageLogged) return;
    this.#isOutageLogged = true;
    this.#options.events.emit(recordLost, { reason });
  }
}
