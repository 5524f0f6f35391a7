import type { Deadline, IClock } from "../common/mod.ts";
import type { ILatencyEstimate, ILatencyEstimates } from "./types.ts";

/** Weight of the newest observation in a moving average. */
const SMOOTHING_FACTOR = 0.1;

/** Time without observations after which an estimate is dropped. */
const ESTIMATE_LIFETIME_MILLISECONDS = 10_000;

interface IAverages {
  firstTokenMilliseconds: number;
  tokenMilliseconds: number;
  tokensPerAnswer: number;
  validUntil: Deadline;
}

/** Exponential moving averages of live streams' latencies, by service. */
export class LatencyEstimates implements ILatencyEstimates {
  #services = new Map<string, IAverages>();
  #clock: IClock;

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  estimateOf(service: string): ILatencyEstimate | undefined {
    const averages = this.#services.get(service);
    if (!averages) return undefined;
    // Without the expiry, one slow period could cause requests to be refused
    // forever, since refused requests yield no new observations.
    if (!this.#clock.isPast(averages.validUntil)) return averages;
    this.#services.delete(service);
    return undefined;
  }

  observe(service: string, observed: ILatencyEstimate): void {
    const known = this.estimateOf(service) ?? observed;
    this.#services.set(service, {
      firstTokenMilliseconds: movingAverage(
        known.firstTokenMilliseconds,
        observed.firstTokenMilliseconds,
      ),
      tokenMilliseconds: movingAverage(
        known.tokenMilliseconds,
        observed.tokenMilliseconds,
      ),
      tokensPerAnswer: movingAverage(
        known.tokensPerAnswer,
        observed.tokensPerAnswer,
      ),
      validUntil: this.#clock.deadlineIn(ESTIMATE_LIFETIME_MILLISECONDS),
    });
  }
}

function movingAverage(average: number, observed: number): number {
  return average + SMOOTHING_FACTOR * (observed - average);
}
