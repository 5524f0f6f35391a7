import type { Deadline } from "./deadline.ts";
import type { IClock } from "./types.ts";

/** Calls that are handled in one turn of the event loop by default. */
const CALLS_PER_TURN = 8;

interface IWaitingCall {
  readonly deadline: Deadline;
  readonly start: (isInTime: boolean) => void;
}

/**
 * Spreads calls that may wait over turns of the event loop.
 *
 * All calls that have arrived would otherwise be handled in one turn. With many
 * callers, such a turn takes so long that other calls, which need several turns
 * each, are not answered in time. Calls whose callers have given up meanwhile
 * are not handled at all.
 */
export class CallBacklog {
  #clock: IClock;
  #callsPerTurn: number;
  #waiting: IWaitingCall[] = [];
  #isScheduled = false;

  /** @param options.callsPerTurn calls that one turn handles. */
  constructor(clock: IClock, options: { callsPerTurn?: number } = {}) {
    this.#clock = clock;
    this.#callsPerTurn = options.callsPerTurn ?? CALLS_PER_TURN;
  }

  /** Number of calls that wait for their turn. */
  get length(): number {
    return this.#waiting.length;
  }

  /** Resolves in the call's turn with whether its caller still waits. */
  enter(deadline: Deadline): Promise<boolean> {
    return new Promise((start) => {
      this.#waiting.push({ deadline, start });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#startTurn();
      if (this.#waiting.length > 0) this.#schedule();
    });
  }

  #startTurn(): void {
    let started = 0;
    let taken = 0;
    for (const { deadline, start } of this.#waiting) {
      if (started === this.#callsPerTurn) break;
      taken += 1;
      const isInTime = !this.#clock.isPast(deadline);
      if (isInTime) started += 1;
      start(isInTime);
    }
    this.#waiting.splice(0, taken);
  }
}
