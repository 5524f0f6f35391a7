import { z } from "zod";

/** Event with which instances tell by how much their clocks differ. */
export const CLOCK_COMPARISON_EVENT = "clock-compared";

const comparisonSchema = z.object({
  peer: z.string(),
  offsetMilliseconds: z.number(),
});

/** A log line that tells of a comparison. */
interface IClockComparisonLine {
  /** Time by the clock of the instance. */
  readonly at: number;
  readonly instance: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How far another instance's clock is ahead, from a point in time on. */
interface IClockOffset {
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
  readonly referenceInstance: string | undefined;
  #offsets = new Map<string, IClockOffset[]>();

  constructor(lines: readonly IClockComparisonLine[]) {
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
    for (const list of this.#offsets.values()) {
      list.sort((a, b) => a.at - b.at);
    }
    const [mostCompared] = [...counts].sort(([, a], [, b]) => b - a);
    this.referenceInstance = mostCompared?.[0];
  }

  /**
   * What to add to a time by an instance's clock; undefined when nothing
   * connects it with the reference.
   */
  shift(instance: string, at: number): number | undefined {
    const shifts = new Map([[instance, 0]]);
    for (const [current, shift] of shifts) {
      if (current === this.referenceInstance) return shift;
      for (
        const [peer, { offset }] of this.#latestOffsets(current, at + shift)
      ) {
        if (!shifts.has(peer)) shifts.set(peer, shift + offset);
      }
    }
    return undefined;
  }

  #add(instance: string, clockOffset: IClockOffset): void {
    const list = this.#offsets.get(instance) ?? [];
    list.push(clockOffset);
    this.#offsets.set(instance, list);
  }

  /** By peer, the latest comparison before a time, or else the first. */
  #latestOffsets(instance: string, at: number): Map<string, IClockOffset> {
    const latest = new Map<string, IClockOffset>();
    for (const clockOffset of this.#offsets.get(instance) ?? []) {
      const isFirst = !latest.has(clockOffset.peer);
      if (isFirst || clockOffset.at <= at) {
        latest.set(clockOffset.peer, clockOffset);
      }
    }
    return latest;
  }
}
