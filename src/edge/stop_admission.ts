import { type Deadline, type IClock, invariant } from "../common/mod.ts";
import type { RecentDurations } from "./recent_durations.ts";

/**
 * Time after the beginning of a stop in which requests of unknown duration are
 * still accepted: the load balancer may send requests until then.
 */
const UNKNOWN_DURATION_MILLISECONDS = 3_000;

/**
 * Ratio of the time that a request is allowed for to the longest recent one. A
 * request that is cut off may not be repeated, one that is refused may.
 */
const DURATION_MARGIN = 1.5;

/** What is known of the time that a request takes. */
export interface IExpectedRequest {
  /** Requests with the same key take about the same time. */
  readonly kind: string;
  /** Time by which it has been answered in any case. */
  readonly deadline: Deadline;
}

/** Decides which requests are accepted while the instance stops. */
export class StopAdmission {
  #clock: IClock;
  #durations: Pick<RecentDurations, "longest">;
  #beganAt: Deadline | undefined;
  #end = 0 as Deadline;

  /** @param durations of the requests that were answered of late. */
  constructor(clock: IClock, durations: Pick<RecentDurations, "longest">) {
    this.#clock = clock;
    this.#durations = durations;
  }

  get isStopping(): boolean {
    return this.#beganAt !== undefined;
  }

  /** Begins the stop; requests that are open at the end are cut off. */
  begin(end: Deadline): void {
    invariant(!this.isStopping, "an instance stops once");
    this.#beganAt = this.#clock.monotonic();
    this.#end = end;
  }

  /** Whether a request is expected to be answered before the end. */
  accepts({ kind, deadline }: IExpectedRequest): boolean {
    if (this.#beganAt === undefined || deadline <= this.#end) return true;
    const now = this.#clock.monotonic();
    const longest = this.#durations.longest(kind);
    if (longest === undefined) {
      return now - this.#beganAt <= UNKNOWN_DURATION_MILLISECONDS;
    }
    return now + longest * DURATION_MARGIN <= this.#end;
  }
}
