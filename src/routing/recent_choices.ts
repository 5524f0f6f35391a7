import type { Deadline } from "../common/mod.ts";

/**
 * Streams that others are taken to have begun for each one begun here, since
 * their counts were heard.
 */
const OTHERS_PER_OWN = 6;

interface IChoices {
  heardAt: Deadline;
  count: number;
}

/**
 * Guesses what other instances began since they were last heard.
 *
 * In a burst all instances know the same old counts. Taking the own choices
 * since then for a sample of everyone's keeps them off one engine.
 */
export class RecentChoices {
  #choices = new Map<string, IChoices>();

  /** Notes a stream begun here. */
  add(engineId: string, heardAt: Deadline | undefined): void {
    if (heardAt === undefined) return;
    const known = this.#choices.get(engineId);
    const count = known?.heardAt === heardAt ? known.count + 1 : 1;
    this.#choices.set(engineId, { heardAt, count });
  }

  /** Streams of others that were probably not heard of. */
  ofOthers(engineId: string, heardAt: Deadline | undefined): number {
    const known = this.#choices.get(engineId);
    if (heardAt === undefined || known?.heardAt !== heardAt) return 0;
    return known.count * OTHERS_PER_OWN;
  }
}
