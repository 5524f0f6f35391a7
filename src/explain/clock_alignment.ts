import { z } from "zod";

/** Event with which instances tell by how much their clocks differ. */
export const COMPARISON_EVENT = "clock-compared";

const comparisonSchema = z.object({
  peer: z.string(),
  offsetMilliseconds: z.number(),
});

/** A log line that tells of a comparison. */
interface IComparisonLine {
  /** Time by the clock of the instance. */
  readonly at: number;
  readonly instance: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How far another instance's clock is ahead, from a point in time on. */
interface IComparison {
  readonly at: number;
  readonly peer: string;
  readonly offset: number;
}

/**
 * Brings times of several instances to the clock of one.
 *
 * Instances compare clocks with whoever leads, so two of them may be connected
 * through a third.
 */
export class ClockAlignment {
  /** Instance by whose clock aligned times are: the one most compared with. */
  readonly reference: string | undefined;
  #comparisons = new Map<string, IComparison[]>();

  constructor(lines: readonly IComparisonLine[]) {
    const counts = new Map<string, number>();
    for (const { at, instance, fields } of lines) {
      const parsed = comparisonSchema.safeParse(fields);
      if (!parsed.success) continue;
      const { peer, offsetMilliseconds: offset } = parsed.data;
      if (peer === instance) continue;
      this.#add(instance, { at, peer, offset });
      // The same comparison tells the peer how far it is behind.
      this.#add(peer, { at: at + offset, peer: instance, offset: -offset });
      counts.set(peer, (counts.get(peer) ?? 0) + 1);
    }
    for (const list of this.#comparisons.values()) {
      list.sort((a, b) => a.at - b.at);
    }
    const [most] = [...counts].sort(([, a], [, b]) => b - a);
    this.reference = most?.[0];
  }

  /**
   * What to add to a time by an instance's clock; undefined when nothing
   * connects it with the reference.
   */
  shift(instance: string, at: number): number | undefined {
    const reached = new Map([[instance, 0]]);
    for (const [current, shift] of reached) {
      if (current === this.reference) return shift;
      for (const [peer, { offset }] of this.#latest(current, at + shift)) {
        if (!reached.has(peer)) reached.set(peer, shift + offset);
      }
    }
    return undefined;
  }

  #add(instance: string, comparison: IComparison): void {
    const list = this.#comparisons.get(instance) ?? [];
    list.push(comparison);
    this.#comparisons.set(instance, list);
  }

  /** By peer, the latest comparison before a time, or else the first. */
  #latest(instance: string, at: number): Map<string, IComparison> {
    const latest = new Map<string, IComparison>();
    for (const comparison of this.#comparisons.get(instance) ?? []) {
      const isFirst = !latest.has(comparison.peer);
      if (isFirst || comparison.at <= at) {
        latest.set(comparison.peer, comparison);
      }
    }
    return latest;
  }
}
