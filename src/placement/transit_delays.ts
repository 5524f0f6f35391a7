import type { Deadline, IClock } from "../common/mod.ts";

/**
 * Time after which the fastest message of a process is looked for again, in
 * milliseconds. The clocks of two machines run apart slowly.
 */
const WINDOW_MILLISECONDS = 5_000;

interface ISenderState {
  readonly process: string;
  /** Least difference between the clocks as messages arrived, this window. */
  leastDifference: number;
  /** The same in the window before. */
  earlierDifference: number;
  windowEndsAt: Deadline;
}

/**
 * Estimates how long messages were under way, for example held up by a
 * partition, so that ages in them can be corrected.
 *
 * The clocks of two processes differ by an unknown amount, which is part of
 * each difference between the times of sending and arrival. A message counts as
 * delayed by what exceeds the least difference of late.
 */
export class TransitDelays {
  #clock: IClock;
  #senders = new Map<string, ISenderState>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  /**
   * Returns the estimated delay of a message that arrives now, in milliseconds.
   *
   * @param message.sentAt monotonic time of the sending process.
   */
  estimate(
    sender: string,
    { process, sentAt }: { process: string; sentAt: number },
  ): number {
    const now = this.#clock.monotonic();
    const difference = now - sentAt;
    const known = this.#senders.get(sender);
    if (known?.process !== process) {
      this.#senders.set(sender, {
        process,
        leastDifference: difference,
        earlierDifference: difference,
        windowEndsAt: this.#clock.deadlineIn(WINDOW_MILLISECONDS),
      });
      return 0;
    }
    if (this.#clock.isPast(known.windowEndsAt)) {
      known.earlierDifference = known.leastDifference;
      known.leastDifference = difference;
      known.windowEndsAt = this.#clock.deadlineIn(WINDOW_MILLISECONDS);
    }
    known.leastDifference = Math.min(known.leastDifference, difference);
    const least = Math.min(known.leastDifference, known.earlierDifference);
    return difference - least;
  }
}
