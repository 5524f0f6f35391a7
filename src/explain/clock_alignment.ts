import { z } from "zod";

/** Event that reports the difference between the clocks of two instances. */
export const CLOCK_COMPARISON_EVENT = "clock-compared";

const comparisonSchema = z.object({
  peer: z.string(),
  offsetMilliseconds: z.number(),
});

/** A log line with the event `clock-compared`. */
interface IClockComparisonLine {
  /** Time by the clock of the instance, in ms since the Unix epoch. */
  readonly at: number;
  readonly instance: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How far the clock of a peer is ahead, measured at a point in time. */
interface IClockOffset {
  readonly at: number;
  readonly peer: string;
  readonly offset: number;
}

/**
 * Converts the times of several instances to the clock of one of them.
 *
 * Instances compare their clock with that of the leader. Two instances that
 * were never compared directly may be compared through a third one.
 */
export class ClockAlignment {
  /** Instance whose clock is used: the one with the most comparisons. */
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
      // The reverse direction: the offset of this instance from the peer.
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
   * Returns the milliseconds to add to a time of an instance's clock, or
   * undefined if no comparisons lead from it to the reference instance.
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

  /** For each peer, the latest comparison until a time, or else the first. */
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
