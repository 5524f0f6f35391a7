import type { Deadline } from "../common/mod.ts";

/**
 * Streams that others are taken to have begun for each one begun here, since
 * their counts were heard.
 */
const OTHER_STREAMS_PER_OWN_STREAM = 6;

interface ISelections {
  receivedAt: Deadline;
  count: number;
}

/**
 * Guesses what other instances began since they were last heard.
 *
 * In a burst all instances know the same old counts. Taking the own choices
 * since then for a sample of everyone's keeps them off one engine.
 */
export class RecentSelections {
  #selections = new Map<string, ISelections>();

  /** Notes a stream begun here. */
  add(engineId: string, receivedAt: Deadline | undefined): void {
    if (receivedAt === undefined) return;
    const known = this.#selections.get(engineId);
    const count = known?.receivedAt === receivedAt ? known.count + 1 : 1;
    this.#selections.set(engineId, { receivedAt, count });
  }

  /** Streams of others that were probably not heard of. */
  estimateOthers(engineId: string, receivedAt: Deadline | undefined): number {
    const known = this.#selections.get(engineId);
    if (receivedAt === undefined || known?.receivedAt !== receivedAt) return 0;
    return known.count * OTHER_STREAMS_PER_OWN_STREAM;
  }
}
