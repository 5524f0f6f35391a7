import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { clockCompared } from "./events.ts";

/**
 * Change of the offset, beyond the uncertainty of both measurements, that is
 * logged.
 */
const CHANGE_THRESHOLD_MILLISECONDS = 20;

/**
 * After an imprecise measurement, the next one is logged whose uncertainty is
 * below this ratio of the last.
 */
const PRECISION_GAIN_RATIO = 0.5;

/** Interval at which an unchanged offset is logged again. */
const REPORT_INTERVAL_MILLISECONDS = 60_000;

/** Identity and wall time that the leader sends in a response. */
export interface ILeaderTime {
  /** Name of the leader's machine. */
  readonly leader: string;
  /** Its wall time, in milliseconds since the Unix epoch. */
  readonly wall: number;
}

interface IReportedOffset {
  readonly leader: string;
  readonly offset: number;
  readonly uncertainty: number;
  readonly repeatAt: Deadline;
}

/**
 * Measures the offset between the leader's wall clock and this instance's from
 * the times at which a call was sent and answered, and logs it. With the
 * offsets, the logs of several instances can be merged although their clocks
 * differ and jump.
 */
export class ClockOffsetMonitor {
  #clock: IClock;
  #events: IEventLog;
  #lastReported: IReportedOffset | undefined;

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
  }

  /** @param sentAt wall time at which the call was sent. */
  recordResponse({ leader, wall }: ILeaderTime, sentAt: number): void {
    const receivedAt = this.#clock.wall();
    // The leader read its clock at some time between the two, so the offset is
    // uncertain by half the round trip.
    const uncertainty = Math.abs(receivedAt - sentAt) / 2;
    const offset = wall - (sentAt + receivedAt) / 2;
    if (!this.#shouldReport({ leader, offset, uncertainty })) return;
    const repeatAt = this.#clock.deadlineIn(REPORT_INTERVAL_MILLISECONDS);
    this.#lastReported = { leader, offset, uncertainty, repeatAt };
    this.#events.emit(clockCompared, {
      peer: leader,
      offsetMilliseconds: Math.round(offset),
      uncertaintyMilliseconds: Math.ceil(uncertainty),
    });
  }

  #shouldReport(next: Omit<IReportedOffset, "repeatAt">): boolean {
    const last = this.#lastReported;
    if (!last || last.leader !== next.leader) return true;
    const threshold = last.uncertainty + next.uncertainty +
      CHANGE_THRESHOLD_MILLISECONDS;
    // The round trip of the first call to a leader includes the time to find
    // the leader, so its measurement is imprecise.
    const isMorePrecise = last.uncertainty > CHANGE_THRESHOLD_MILLISECONDS &&
      next.uncertainty < PRECISION_GAIN_RATIO * last.uncertainty;
    return isMorePrecise || Math.abs(next.offset - last.offset) > threshold ||
      this.#clock.isPast(last.repeatAt);
  }
}
