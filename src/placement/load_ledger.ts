import type { IClock } from "../common/mod.ts";
import type { ExchangeParams, LoadEntry } from "./messages.ts";

/** Silence after which an instance's load no longer counts, in ms. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;

/** Time for which an instance is remembered, in milliseconds. */
const INSTANCE_LIFETIME_MILLISECONDS = 10_000;

interface IReport {
  readonly receivedAt: number;
  readonly params: ExchangeParams;
}

/** Adds up the load that instances report; kept by the leader. */
export class LoadLedger {
  #clock: IClock;
  #reports = new Map<string, IReport>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  record(params: ExchangeParams): void {
    const receivedAt = this.#clock.monotonic();
    this.#reports.set(params.instance, { receivedAt, params });
  }

  /** Live requests by engine. */
  live(): Map<string, number> {
    const sums = new Map<string, number>();
    for (const { params } of this.#recent(REPORT_LIFETIME_MILLISECONDS)) {
      for (const [engine, count] of params.live) {
        sums.set(engine, (sums.get(engine) ?? 0) + count);
      }
    }
    return sums;
  }

  /** Live requests and batch items of all engines with any. */
  entries(bulk: ReadonlyMap<string, number>): LoadEntry[] {
    const live = this.live();
    const engines = new Set([...live.keys(), ...bulk.keys()]);
    return [...engines].map((engine) => [
      engine,
      live.get(engine) ?? 0,
      bulk.get(engine) ?? 0,
    ]);
  }

  /** How many instances find each engine failing. */
  suspicions(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { params } of this.#recent(REPORT_LIFETIME_MILLISECONDS)) {
      for (const engine of params.suspects) {
        counts.set(engine, (counts.get(engine) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Instances of a role that were heard lately, by name. */
  instances(role: ExchangeParams["role"]): Map<string, string> {
    return new Map(
      this.#recent(INSTANCE_LIFETIME_MILLISECONDS)
        .filter(({ params }) => params.role === role)
        .map(({ params }) => [params.name, params.instance]),
    );
  }

  #recent(lifetime: number): IReport[] {
    const earliest = this.#clock.monotonic() - lifetime;
    return [...this.#reports.values()]
      .filter(({ receivedAt }) => receivedAt >= earliest);
  }
}
