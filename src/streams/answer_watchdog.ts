import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IAttemptLimits } from "./stream_attempt.ts";
import type { IEngineAnswer } from "./types.ts";

/**
 * Closes an engine's answer at the request's deadline, and after too long a
 * silence if another engine may go on.
 */
export class AnswerWatchdog implements IDisposable {
  #clock: IClock;
  #limits: IAttemptLimits;
  #closeAnswer: (reason: string) => void;
  #silenceTimer: NodeJS.Timeout | undefined;
  #silenceDeadline: Deadline;
  #isSilenceAllowed = false;
  #deadlineTimer: NodeJS.Timeout;
  /** Why the watchdog closed the answer; undefined if it did not. */
  closeReason: string | undefined;

  constructor(clock: IClock, answer: IEngineAnswer, limits: IAttemptLimits) {
    this.#clock = clock;
    this.#limits = limits;
    this.#closeAnswer = (reason) => {
      this.closeReason = reason;
      answer.close();
    };
    this.#deadlineTimer = setTimeout(
      () => this.#closeAnswer("the request's deadline was reached"),
      clock.remaining(limits.deadline),
    );
    this.#silenceDeadline = limits.firstEventDeadline;
    this.#arm();
  }

  /** Records that the answer has made progress. */
  reset(): void {
    this.#silenceDeadline = this.#clock.deadlineIn(
      this.#limits.silenceMilliseconds,
    );
    this.#arm();
  }

  /** Accepts any silence from now on: no other engine can go on. */
  allowSilence(): void {
    this.#isSilenceAllowed = true;
    clearTimeout(this.#silenceTimer);
  }

  /**
   * Waits for the caller to read. This time does not count as silence of the
   * engine, whose answer is not read meanwhile.
   */
  async excludeFromSilence(reading: Promise<void>): Promise<void> {
    clearTimeout(this.#silenceTimer);
    const remaining = this.#clock.remaining(this.#silenceDeadline);
    await reading;
    this.#silenceDeadline = this.#clock.deadlineIn(remaining);
    this.#arm();
  }

  dispose(): void {
    clearTimeout(this.#silenceTimer);
    clearTimeout(this.#deadlineTimer);
  }

  #arm(): void {
    clearTimeout(this.#silenceTimer);
    if (!this.#limits.mayFailOver || this.#isSilenceAllowed) return;
    this.#silenceTimer = setTimeout(() => {
      // A sound engine may pause, and nothing is gained without another one.
      if (this.#limits.hasAlternative?.() === false) this.reset();
      else this.#closeAnswer("the engine is silent");
    }, this.#clock.remaining(this.#silenceDeadline));
  }
}
