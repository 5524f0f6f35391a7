import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { clockCompared } from "./events.ts";

/** Change of the difference that is told beside its uncertainty, in ms. */
const CHANGE_THRESHOLD_MILLISECONDS = 20;

/** Share of the uncertainty told last under which a better one is told. */
const PRECISION_GAIN_RATIO = 0.5;

/** Time after which an unchanged difference is told again, in ms. */
const REPORT_INTERVAL_MILLISECONDS = 60_000;

/** What a leader says of itself when it answers. */
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
 * Compares the wall clock with that of the leader, by the times at which a
 * call was sent and answered. Logs of several instances can then be read as
 * one, although their clocks differ and jump.
 */
export class ClockOffsetMonitor {
  #clock: IClock;
  #events: IEventLog;
  #lastReported: IReportedOffset | undefined;

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
  }

  /** @param sentAt wall time at which the answered call was sent. */
  recordResponse({ leader, wall }: ILeaderTime, sentAt: number): void {
    const receivedAt = this.#clock.wall();
    // The leader's time lies between the two; half of it is the uncertainty.
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
    // The first call to a leader includes the search for it.
    const isMorePrecise = last.uncertainty > CHANGE_THRESHOLD_MILLISECONDS &&
      next.uncertainty < PRECISION_GAIN_RATIO * last.uncertainty;
    return isMorePrecise || Math.abs(next.offset - last.offset) > threshold ||
      this.#clock.isPast(last.repeatAt);
  }
}
