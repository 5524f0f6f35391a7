import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IAttemptLimits } from "./stream_attempt.ts";
import type { IEngineAnswer } from "./types.ts";

/**
 * Closes an engine's answer at the request's deadline, and after too long a
 * silence once a place at another engine is reserved. A sound engine may pause,
 * so the answer stays open until then.
 */
export class AnswerWatchdog implements IDisposable {
  #clock: IClock;
  #limits: IAttemptLimits;
  #closeAnswer: (reason: string) => void;
  #silenceTimer: NodeJS.Timeout | undefined;
  #silenceDeadline: Deadline;
  #isSilenceAllowed = false;
  /** Whether a place at another engine is being reserved. */
  #isReserving = false;
  /** Whether bytes of the answer wait for the caller to read. */
  #isWriting = false;
  /** Whether the answer has made progress since the place was asked for. */
  #hasProgressed = false;
  #isDisposed = false;
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
    this.#hasProgressed = true;
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
    this.#isWriting = true;
    await reading;
    this.#isWriting = false;
    this.#silenceDeadline = this.#clock.deadlineIn(remaining);
    this.#arm();
  }

  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#silenceTimer);
    clearTimeout(this.#deadlineTimer);
  }

  #arm(): void {
    clearTimeout(this.#silenceTimer);
    const { mayFailOver } = this.#limits;
    const isAllowed = !mayFailOver || this.#isSilenceAllowed;
    if (isAllowed || this.#isReserving || this.#isDisposed) return;
    this.#silenceTimer = setTimeout(
      () =>
        this.#tryAlternative().catch((error) =>
          this.#closeAnswer((error as Error).message)
        ),
      this.#clock.remaining(this.#silenceDeadline),
    );
  }

  /** Closes the answer if another engine has a place and this one is silent. */
  async #tryAlternative(): Promise<void> {
    const { alternative } = this.#limits;
    this.#hasProgressed = false;
    this.#isReserving = true;
    const isReserved = await alternative?.reserve(true) ?? true;
    this.#isReserving = false;
    const isSilent = !this.#hasProgressed && !this.#isWriting &&
      !this.#isSilenceAllowed && !this.#isDisposed;
    if (isReserved && isSilent) {
      return this.#closeAnswer("the engine is silent");
    }
    if (isReserved) alternative?.release();
    if (isSilent) this.reset();
    else if (!this.#isWriting) this.#arm();
  }
}
