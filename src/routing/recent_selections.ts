import type { Deadline } from "../common/mod.ts";

/**
 * Number of streams that other instances are assumed to have started for each
 * stream started here since their counts were received.
 */
const OTHER_STREAMS_PER_OWN_STREAM = 6;

interface ISelections {
  receivedAt: Deadline;
  count: number;
}

/**
 * Estimates the streams that other instances have started since their counts
 * were last received.
 *
 * In a burst, all instances decide on the same outdated counts. Treating this
 * instance's selections since then as a sample of all instances' selections
 * keeps them from choosing the same engine.
 */
export class RecentSelections {
  #selections = new Map<string, ISelections>();

  /** Records a stream started by this instance. */
  add(engineId: string, receivedAt: Deadline | undefined): void {
    if (receivedAt === undefined) return;
    const known = this.#selections.get(engineId);
    const count = known?.receivedAt === receivedAt ? known.count + 1 : 1;
    this.#selections.set(engineId, { receivedAt, count });
  }

  /** Estimated streams of other instances that their counts do not include. */
  estimateOthers(engineId: string, receivedAt: Deadline | undefined): number {
    const known = this.#selections.get(engineId);
    if (receivedAt === undefined || known?.receivedAt !== receivedAt) return 0;
    return known.count * OTHER_STREAMS_PER_OWN_STREAM;
  }
}
