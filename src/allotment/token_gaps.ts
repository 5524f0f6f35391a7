import type { Deadline, IClock } from "../common/mod.ts";
import type { ITokenGaps } from "./types.ts";

/** Minimum number of latest gaps that are kept for each engine. */
const REMEMBERED_GAPS = 128;

/** Number of gaps below which there is no estimate. */
const MINIMUM_SAMPLES = 16;

/**
 * Quantile of the gaps that is the estimate. An overloaded engine lengthens all
 * gaps. A pause of an engine lengthens only a few of them, and must not affect
 * the estimate.
 */
const QUANTILE = 0.75;

interface IGap {
  readonly milliseconds: number;
  readonly at: Deadline;
}

/** Records the latest times between tokens by engine. */
export class TokenGaps implements ITokenGaps {
  #clock: IClock;
  #gaps = new Map<string, IGap[]>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  recordGap(engineId: string, milliseconds: number): void {
    const gaps = this.#gaps.get(engineId) ?? [];
    this.#gaps.set(engineId, gaps);
    gaps.push({ milliseconds, at: this.#clock.monotonic() });
    if (gaps.length > 2 * REMEMBERED_GAPS) gaps.splice(0, REMEMBERED_GAPS);
  }

  gapSince(engineId: string, since: Deadline): number | undefined {
    const recent = (this.#gaps.get(engineId) ?? [])
      .filter(({ at }) => at > since)
      .map(({ milliseconds }) => milliseconds);
    if (recent.length < MINIMUM_SAMPLES) return undefined;
    recent.sort((first, second) => first - second);
    return recent[Math.floor(recent.length * QUANTILE)];
  }
}
