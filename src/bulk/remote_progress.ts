import type { IItemProgress } from "./item_run.ts";
import type { RunDelta } from "./messages.ts";

/**
 * Data that the leader has received of a run at another store.
 *
 * Deltas may arrive late, repeatedly and in any order, as a partition delays
 * what was sent over one connection while others deliver. A delta therefore
 * only ever adds data.
 */
export class RemoteProgress {
  #progress: IItemProgress;
  /** Lines of data that the item had before the run. */
  #base: number;

  constructor(progress: IItemProgress) {
    this.#progress = progress;
    this.#base = progress.data.length;
  }

  /** Number of lines of data that were received of the run. */
  get heldLines(): number {
    return this.#progress.data.length - this.#base;
  }

  /** Adds the lines that are not held yet; ignores a delta after a gap. */
  add({ from, data, lastEventId }: RunDelta): void {
    const { heldLines } = this;
    if (from > heldLines) return;
    const added = data.slice(heldLines - from);
    if (added.length === 0) return;
    this.#progress.data.push(...added);
    this.#progress.lastEventId = lastEventId ?? this.#progress.lastEventId;
  }

  /** Whether all lines up to the end of a delta are held. */
  includes({ from, data }: RunDelta): boolean {
    return from + data.length <= this.heldLines;
  }
}
