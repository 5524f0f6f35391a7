import type { IClock } from "../common/mod.ts";
import type { Relay } from "../relaying/mod.ts";
import type { PeerAddress } from "../rpc/mod.ts";
import type { Ability, ExchangeParams, LoadEntry } from "./messages.ts";

/** Time without a report after which an instance's load is ignored. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;

/** Time since its last report for which an instance is listed. */
const INSTANCE_LIFETIME_MILLISECONDS = 10_000;

/** Time after which a grant that no report confirms is dropped. */
const GRANT_LIFETIME_MILLISECONDS = 400;

/** Instances that forward requests, named to an instance without links. */
const MAXIMUM_NAMED_RELAYS = 16;

/** Most engines whose mean durations are kept for an instance. */
const MAXIMUM_ENGINES_WITH_MEANS = 2_000;

/** Time for which the summary over all instances is cached. */
const SUMMARY_LIFETIME_MILLISECONDS = 250;

interface IReport {
  readonly receivedAt: number;
  readonly params: ExchangeParams;
  /** Whether its load is included in the sums by engine. */
  isCounted: boolean;
}

interface IGrantRecord {
  readonly instance: string;
  readonly engine: string;
  readonly caller: string | undefined;
  /** Tokens that the request may fill. */
  readonly tokens: number;
  /** Sequence number of the exchange that asked for the grant. */
  readonly sequence: number;
  readonly expiresAt: number;
}

/** Cached values over all instances, which change slowly. */
interface ISummary {
  readonly madeAt: number;
  readonly meanDurations: ReadonlyMap<string, number>;
  readonly entries: number;
}

/**
 * Sums up the load that instances report, on the leader.
 *
 * The sums by engine are updated incrementally with each report, because they
 * are read for every request that is placed.
 */
export class LoadLedger {
  #clock: IClock;
  #reports = new Map<string, IReport>();
  /** Mean durations by instance and engine. */
  #means = new Map<string, Map<string, number>>();
  /** Live requests by engine, including grants. */
  #live = new Map<string, number>();
  /** Tokens that live requests may fill, by engine, including grants. */
  #liveTokens = new Map<string, number>();
  /** Live requests by caller, including grants. */
  #callers = new Map<string, number>();
  /** Grants that no report includes yet. */
  #grants: IGrantRecord[] = [];
  #summary: ISummary | undefined;

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  recordReport(params: ExchangeParams): void {
    const receivedAt = this.#clock.monotonic();
    const { instance, answered } = params;
    const earlier = this.#reports.get(instance);
    if (earlier) this.#subtract(earlier);
    this.#reports.set(instance, { receivedAt, params, isCounted: true });
    this.#count(params, 1);
    if (params.means) this.#mergeMeans(instance, params.means);
    this.#dropGrants((grant) =>
      grant.instance === instance && grant.sequence <= answered
    );
  }

  /** Counts a request granted in the answer to an exchange. */
  recordGrant(
    grant: Omit<IGrantRecord, "expiresAt">,
  ): void {
    const expiresAt = this.#clock.monotonic() + GRANT_LIFETIME_MILLISECONDS;
    this.#grants.push({ ...grant, expiresAt });
    this.#countGrant(grant, 1);
  }

  /** Live requests by engine. */
  liveCounts(): ReadonlyMap<string, number> {
    this.#dropOutdated();
    return this.#live;
  }

  /** Tokens that live requests may fill, by engine. */
  liveTokens(): ReadonlyMap<string, number> {
    this.#dropOutdated();
    return this.#liveTokens;
  }

  /** Live requests by caller. */
  callerCounts(): ReadonlyMap<string, number> {
    this.#dropOutdated();
    return this.#callers;
  }

  /** Mean duration of a live request by engine, over the instances. */
  meanDurations(): ReadonlyMap<string, number> {
    return this.#currentSummary().meanDurations;
  }

  /** Number of entry instances that reported recently. */
  entryCount(): number {
    return this.#currentSummary().entries;
  }

  /**
   * Some of the instances that forward requests of others, chosen at random.
   *
   * @param options.asking instance that is not chosen.
   * @param options.random random number from 0 up to, not including, 1.
   */
  relays(options: { asking: string; random: number }): Relay[] {
    const relays = this.#recent(REPORT_LIFETIME_MILLISECONDS)
      .flatMap(({ params: { instance, relayPort, isCutOff } }) =>
        relayPort === undefined || isCutOff || instance === options.asking
          ? []
          : [{ address: instance, port: relayPort }]
      );
    const start = Math.floor(options.random * relays.length);
    return [...relays.slice(start), ...relays.slice(0, start)]
      .slice(0, MAXIMUM_NAMED_RELAYS);
  }

  /** Live requests and batch items of all engines that have any. */
  entries(bulk: ReadonlyMap<string, number>): LoadEntry[] {
    const live = this.liveCounts();
    const engines = new Set([...live.keys(), ...bulk.keys()]);
    return [...engines].map((engine) => [
      engine,
      live.get(engine) ?? 0,
      bulk.get(engine) ?? 0,
    ]);
  }

  /** Number of instances that suspect each engine. */
  suspectCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { params } of this.#recent(REPORT_LIFETIME_MILLISECONDS)) {
      for (const engine of params.suspects) {
        counts.set(engine, (counts.get(engine) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Instances of a role that reported recently, by name. */
  instances(role: ExchangeParams["role"]): Map<string, string> {
    return new Map(
      this.#recent(INSTANCE_LIFETIME_MILLISECONDS)
        .filter(({ params }) => params.role === role)
        .map(({ params }) => [params.name, params.instance]),
    );
  }

  /** Names of instances that reported of late and lack an ability. */
  instancesWithout(ability: Ability): string[] {
    return this.#recent(INSTANCE_LIFETIME_MILLISECONDS)
      .filter(({ params }) => !params.abilities?.includes(ability))
      .map(({ params }) => params.name);
  }

  /** Whether an instance of a role has reported since a point in time. */
  hasReportSince(role: ExchangeParams["role"], since: number): boolean {
    return [...this.#reports.values()].some(({ params, receivedAt }) =>
      params.role === role && receivedAt >= since
    );
  }

  /** Addresses of these instances; all listen on the same port. */
  peers(role: ExchangeParams["role"], port: number): PeerAddress[] {
    return [...this.instances(role).values()]
      .map((address) => ({ id: address, address, port }));
  }

  #mergeMeans(
    instance: string,
    means: NonNullable<ExchangeParams["means"]>,
  ): void {
    const known = this.#means.get(instance) ?? new Map<string, number>();
    for (const [engine, mean] of means) {
      known.delete(engine);
      known.set(engine, mean);
    }
    for (const engine of known.keys()) {
      if (known.size <= MAXIMUM_ENGINES_WITH_MEANS) break;
      known.delete(engine);
    }
    this.#means.set(instance, known);
  }

  /** Adds the load of a report, or subtracts it with the sign -1. */
  #count(params: ExchangeParams, sign: 1 | -1): void {
    for (const [engine, count] of params.live) {
      add(this.#live, engine, sign * count);
    }
    for (const [engine, tokens] of params.liveTokens ?? []) {
      add(this.#liveTokens, engine, sign * tokens);
    }
    for (const [caller, count] of params.callers ?? []) {
      add(this.#callers, caller, sign * count);
    }
  }

  #countGrant(
    { engine, caller, tokens }: Omit<IGrantRecord, "expiresAt">,
    sign: 1 | -1,
  ): void {
    add(this.#live, engine, sign);
    add(this.#liveTokens, engine, sign * tokens);
    if (caller !== undefined) add(this.#callers, caller, sign);
  }

  #subtract(report: IReport): void {
    if (!report.isCounted) return;
    report.isCounted = false;
    this.#count(report.params, -1);
  }

  /** Drops expired grants and the load of instances that stay silent. */
  #dropOutdated(): void {
    this.#dropGrants(() => false);
    const earliest = this.#clock.monotonic() - REPORT_LIFETIME_MILLISECONDS;
    for (const report of this.#reports.values()) {
      if (report.receivedAt < earliest) this.#subtract(report);
    }
  }

  /** Drops grants that a report includes, and expired ones. */
  #dropGrants(isIncluded: (grant: IGrantRecord) => boolean): void {
    const now = this.#clock.monotonic();
    this.#grants = this.#grants.filter((grant) => {
      if (grant.expiresAt > now && !isIncluded(grant)) return true;
      this.#countGrant(grant, -1);
      return false;
    });
  }

  #currentSummary(): ISummary {
    const madeAt = this.#clock.monotonic();
    const age = madeAt - (this.#summary?.madeAt ?? Number.NEGATIVE_INFINITY);
    if (this.#summary && age < SUMMARY_LIFETIME_MILLISECONDS) {
      return this.#summary;
    }
    const sums = new Map<string, { total: number; count: number }>();
    for (const { params } of this.#recent(REPORT_LIFETIME_MILLISECONDS)) {
      for (const [engine, mean] of this.#means.get(params.instance) ?? []) {
        const { total, count } = sums.get(engine) ?? { total: 0, count: 0 };
        sums.set(engine, { total: total + mean, count: count + 1 });
      }
    }
    const meanDurations = new Map(
      [...sums].map((
        [engine, { total, count }],
      ) => [engine, total / count] as const),
    );
    const entries = this.instances("entry").size;
    this.#summary = { madeAt, meanDurations, entries };
    return this.#summary;
  }

  #recent(lifetime: number): IReport[] {
    const earliest = this.#clock.monotonic() - lifetime;
    return [...this.#reports.values()]
      .filter(({ receivedAt }) => receivedAt >= earliest);
  }
}

function add(counts: Map<string, number>, key: string, change: number): void {
  const sum = (counts.get(key) ?? 0) + change;
  if (sum > 0) counts.set(key, sum);
  else counts.delete(key);
}
