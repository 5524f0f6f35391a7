import type { IClock } from "../common/mod.ts";
import type { ExchangeParams, LoadEntry } from "./messages.ts";

/** Silence after which an instance's load no longer counts, in ms. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;

/** Time for which an instance is remembered, in milliseconds. */
const INSTANCE_LIFETIME_MILLISECONDS = 10_000;

/** Time after which a grant that no report confirms is forgotten, in ms. */
const GRANT_LIFETIME_MILLISECONDS = 400;

interface IReport {
  readonly receivedAt: number;
  readonly params: ExchangeParams;
}

interface IGrantRecord {
  readonly instance: string;
  readonly engine: string;
  /** Number of the exchange that asked for the place. */
  readonly sequence: number;
  readonly expiresAt: number;
}

/** Adds up the load that instances report; kept by the leader. */
export class LoadLedger {
  #clock: IClock;
  #reports = new Map<string, IReport>();
  #means = new Map<string, ExchangeParams["means"]>();
  /** Places granted that no report includes yet. */
  #grants: IGrantRecord[] = [];

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  record(params: ExchangeParams): void {
    const receivedAt = this.#clock.monotonic();
    const { instance, answered } = params;
    this.#reports.set(instance, { receivedAt, params });
    if (params.means) this.#means.set(instance, params.means);
    this.#grants = this.#grants.filter((grant) =>
      grant.expiresAt > receivedAt &&
      (grant.instance !== instance || grant.sequence > answered)
    );
  }

  /** Counts a place that was granted in the answer to an exchange. */
  grant(instance: string, engine: string, sequence: number): void {
    const expiresAt = this.#clock.monotonic() + GRANT_LIFETIME_MILLISECONDS;
    this.#grants.push({ instance, engine, sequence, expiresAt });
  }

  /** Live requests by engine. */
  live(): Map<string, number> {
    const sums = new Map<string, number>();
    const add = (engine: string, count: number) =>
      sums.set(engine, (sums.get(engine) ?? 0) + count);
    for (const { params } of this.#recent(REPORT_LIFETIME_MILLISECONDS)) {
      for (const [engine, count] of params.live) add(engine, count);
    }
    const now = this.#clock.monotonic();
    for (const { engine, expiresAt } of this.#grants) {
      if (expiresAt > now) add(engine, 1);
    }
    return sums;
  }

  /** Mean time of a live request by engine, over the instances. */
  means(): Map<string, number> {
    const sums = new Map<string, { total: number; count: number }>();
    for (const { params } of this.#recent(REPORT_LIFETIME_MILLISECONDS)) {
      for (const [engine, mean] of this.#means.get(params.instance) ?? []) {
        const { total, count } = sums.get(engine) ?? { total: 0, count: 0 };
        sums.set(engine, { total: total + mean, count: count + 1 });
      }
    }
    return new Map(
      [...sums].map(([engine, { total, count }]) => [engine, total / count]),
    );
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
