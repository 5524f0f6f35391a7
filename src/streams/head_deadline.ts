import {
  type Deadline,
  earlierDeadline,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IAttemptLimits } from "./stream_attempt.ts";

/**
 * Decides how long to wait for the head of an engine's answer: until the
 * deadline of the request, or until another engine can take the request over.
 */
export class HeadDeadline implements IDisposable {
  /** Time by which the head must arrive, unless it is extended. */
  readonly initial: Deadline;
  #clock: IClock;
  #limits: IAttemptLimits;
  #isDisposed = false;

  constructor(clock: IClock, limits: IAttemptLimits) {
    this.#clock = clock;
    this.#limits = limits;
    this.initial = limits.mayFailOver
      ? limits.firstEventDeadline
      : limits.deadline;
  }

  /**
   * Resolves with a later deadline if no other engine has a place for the
   * request.
   */
  async extend(): Promise<Deadline | undefined> {
    const { mayFailOver, alternative, deadline } = this.#limits;
    const isOver = !mayFailOver || this.#clock.isPast(deadline);
    if (isOver || !alternative) return undefined;
    if (!await alternative.reserve(false)) {
      const { silenceMilliseconds } = this.#limits;
      const next = this.#clock.deadlineIn(silenceMilliseconds);
      return earlierDeadline(next, deadline);
    }
    if (this.#isDisposed) alternative.release();
    return undefined;
  }

  dispose(): void {
    this.#isDisposed = true;
  }
}
