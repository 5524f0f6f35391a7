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
 * Time without an answer after which the operation records count as
 * unavailable, in milliseconds. An election after the loss of a leader takes
 * up to 2,500 ms.
 */
const UNAVAILABLE_AFTER_MILLISECONDS = 3_000;

/** Pause between probes for a leader with a quorum, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 250;

/** Timeout of one probe, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Retry delay for refused requests, in seconds: about one election. */
const RETRY_AFTER_SECONDS = 2;

/** Options of `AvailabilityMonitor`. */
export interface IAvailabilityMonitorOptions {
  readonly control: IControlClient;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/**
 * Detects whether the operation records are available.
 *
 * While they are not, no operation can begin, so requests are refused
 * immediately instead of waiting for their deadline.
 */
export class AvailabilityMonitor implements IDisposable {
  #options: IAvailabilityMonitorOptions;
  #unansweredSince: Deadline | undefined;
  #isOutageLogged = false;
  #abort = new AbortController();

  constructor(options: IAvailabilityMonitorOptions) {
    this.#options = options;
  }

  /**
   * Time from which the records count as unavailable; undefined while calls
   * are answered.
   */
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

  /** Reports that a call was answered, which ends an outage. */
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

  /** Reports that a call that began at the given time got no answer. */
  reportNoAnswer(startedAt: Deadline): void {
    if (this.#unansweredSince !== undefined) return;
    this.#unansweredSince = startedAt;
    void this.#probe();
  }

  /** Failure of requests that arrive during an outage. */
  outageFailure(): Failure {
    const since = this.#unansweredSince ?? this.#options.clock.monotonic();
    const silenceMilliseconds = Math.round(
      this.#options.clock.monotonic() - since,
    );
    const reason = "operation records have been unavailable for " +
      `${silenceMilliseconds} ms: no quorum of the control voters answers`;
    return notRun("unavailable", reason, {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }

  dispose(): void {
    this.#abort.abort();
  }

  /** Probes for a leader with a quorum until one answers. */
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
