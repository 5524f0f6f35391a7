import { ClockWatch, type Deadline, type IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { EngineHealth } from "./engine_health.ts";
import { engineListChanged } from "./events.ts";
import type { LeavingEngines } from "./leaving_engines.ts";
import type { EngineList, LoadEntry } from "./messages.ts";
import {
  CURRENT_LIST_MILLISECONDS,
  type SoleVersionReport,
  SoleVersions,
} from "./sole_versions.ts";
import {
  type IEngineView,
  INITIAL_MEAN_MILLISECONDS,
  type ListedEngine,
} from "./types.ts";

/** Age from which the load reported by other instances is ignored. */
const LOAD_LIFETIME_MILLISECONDS = 1_500;

/** Weight of a new duration in the exponential moving average. */
const MEAN_SMOOTHING_FACTOR = 0.1;

/** Change of a mean from which on it is reported again. */
const REPORTED_CHANGE = 0.1;

/** What an answer of the leader says about the list of engines. */
export interface ILeaderListReport {
  readonly term: number;
  /** When the answer was asked for. */
  readonly requestedAt: Deadline;
  /** Revision of the list of this instance, as the leader was told. */
  readonly revision: string;
  /** Age of the leader's list when it answered, in milliseconds. */
  readonly listAge: number;
  /** The leader's list if its revision is another one. */
  readonly list: EngineList | undefined;
  readonly soleVersions: readonly SoleVersionReport[];
}

/** Mean duration of the live requests at an engine, in milliseconds. */
interface IMeanDuration {
  mean: number;
  /** Mean that the leader of a term has received last. */
  reportedMean?: number;
  reportedTerm?: number;
}

/** Engines and their load, as this instance knows them. */
export class EngineTable {
  #clock: IClock;
  #clockWatch: ClockWatch;
  #seenDisturbances = 0;
  #events: IEventLog;
  #health: EngineHealth;
  #leaving: LeavingEngines;
  #list: EngineList = { revision: "", engines: [] };
  #listReadAt = Number.NEGATIVE_INFINITY;
  #soleVersions = new SoleVersions();
  /** Live requests of other instances and all batch items, by engine. */
  #otherLoad = new Map<string, { live: number; bulk: number }>();
  #loadReceivedAt = Number.NEGATIVE_INFINITY;
  #ownLive = new Map<string, number>();
  /** Tokens that the live requests of this instance may fill, by engine. */
  #ownTokens = new Map<string, number>();
  #memoryOf: (service: string) => number | undefined;
  #meanDurations = new Map<string, IMeanDuration>();

  constructor(
    clock: IClock,
    options: {
      events: IEventLog;
      health: EngineHealth;
      leaving: LeavingEngines;
      /** Tokens that the memory of a service's engine holds, if known. */
      memoryOf?: (service: string) => number | undefined;
    },
  ) {
    this.#clock = clock;
    this.#clockWatch = new ClockWatch(clock);
    this.#events = options.events;
    this.#health = options.health;
    this.#leaving = options.leaving;
    this.#memoryOf = options.memoryOf ?? (() => undefined);
  }

  get revision(): string {
    return this.#list.revision;
  }

  get engines(): readonly ListedEngine[] {
    return this.#list.engines;
  }

  /** Age of the list of engines, in milliseconds. */
  get listAge(): number {
    return this.#clock.monotonic() - this.#listReadAt;
  }

  /** Time as of which the list of engines is known to have been current. */
  get listReadAt(): number {
    return this.#listReadAt;
  }

  /**
   * Adopts what the leader says about the list, unless it refers to another
   * list than the present one, or this machine was suspended meanwhile.
   */
  updateFromLeader(report: ILeaderListReport): void {
    const { term, requestedAt, revision, list, soleVersions } = report;
    if (!this.#clockWatch.isContinuousSince(requestedAt)) return;
    const now = this.#clock.monotonic();
    // The answer may have waited, for example while this process was frozen.
    const age = report.listAge + now - requestedAt;
    if (list) this.updateList(list, { age, source: "leader" });
    else if (revision === this.revision) this.confirmListAge(age);
    const isPresent = this.revision === (list?.revision ?? revision);
    if (!isPresent) return;
    this.#soleVersions.adopt(soleVersions, { term, requestedAt, now });
  }

  /**
   * Replaces the engine list by one read `age` milliseconds ago, unless the
   * present one was read later.
   */
  updateList(
    list: EngineList,
    options: { age: number; source: "leader" | "platform" },
  ): void {
    const isOlder = this.listAge < options.age;
    if (isOlder && list.revision !== this.revision) return;
    this.confirmListAge(options.age);
    this.#leaving.updateList(list.engines);
    if (list.revision === this.#list.revision) return;
    this.#list = list;
    this.#soleVersions.update(list.engines);
    const ids = new Set(list.engines.map(({ id }) => id));
    this.#health.retainEngines(ids);
    for (const id of this.#meanDurations.keys()) {
      if (!ids.has(id)) this.#meanDurations.delete(id);
    }
    this.#events.emit(engineListChanged, {
      revision: list.revision,
      engines: list.engines.length,
      leaving: list.engines.filter(({ isLeaving }) => isLeaving).length,
      source: options.source,
    });
  }

  /** Records that the current list was up to date `age` milliseconds ago. */
  confirmListAge(age: number): void {
    this.#noticeSuspension();
    const readAt = this.#clock.monotonic() - age;
    this.#soleVersions.confirm(readAt);
    this.#listReadAt = Math.max(this.#listReadAt, readAt);
  }

  /**
   * Replaces the load of the fleet.
   *
   * @param reported live requests of this instance by engine that the sums
   * include; they are subtracted.
   */
  updateLoad(
    entries: readonly LoadEntry[],
    reported: ReadonlyMap<string, number>,
  ): void {
    this.#otherLoad = new Map(
      entries.map(([engine, live, bulk]) => [engine, {
        live: Math.max(0, live - (reported.get(engine) ?? 0)),
        bulk,
      }]),
    );
    this.#loadReceivedAt = this.#clock.monotonic();
  }

  /** Replaces the load of the fleet by the short form for the current list. */
  updateShortLoad(
    load: readonly number[],
    reported: ReadonlyMap<string, number>,
  ): void {
    const entries = this.#list.engines.map(({ id }, index): LoadEntry => [
      id,
      load[2 * index] ?? 0,
      load[2 * index + 1] ?? 0,
    ]);
    this.updateLoad(entries, reported);
  }

  /** Live requests of this instance by engine. */
  ownLiveCounts(): Map<string, number> {
    return new Map(this.#ownLive);
  }

  /**
   * Mean time of a live request by engine, in milliseconds, where the leader of
   * a term has not received it or it has changed much since.
   */
  unreportedMeans(term: number): [string, number][] {
    return [...this.#meanDurations].flatMap(([engine, duration]) => {
      const { mean, reportedMean, reportedTerm } = duration;
      const change = Math.abs(mean - (reportedMean ?? 0)) / mean;
      const isKnown = reportedTerm === term && change < REPORTED_CHANGE;
      return isKnown ? [] : [[engine, Math.round(mean)]];
    });
  }

  /** Records that the leader of a term has received means. */
  markMeansReported(means: readonly [string, number][], term: number): void {
    for (const [engine, reportedMean] of means) {
      const known = this.#meanDurations.get(engine);
      if (!known) continue;
      known.reportedMean = reportedMean;
      known.reportedTerm = term;
    }
  }

  engine(id: string): ListedEngine | undefined {
    const listed = this.#list.engines.find((engine) => engine.id === id);
    return listed && this.#leaving.withAnnouncement(listed);
  }

  /** Engines that have announced to this instance that they leave. */
  announcedLeaving(): string[] {
    return this.#leaving.ids();
  }

  isSuspect(engine: string): boolean {
    return this.#health.isSuspect(engine);
  }

  /**
   * The only software version that a service has had for a number of
   * milliseconds. Undefined if there were several or the list was not current
   * all the time.
   */
  soleVersion(service: string, milliseconds: number): string | undefined {
    this.#noticeSuspension();
    const sole = this.#soleVersions.find(service);
    if (!sole || this.listAge > CURRENT_LIST_MILLISECONDS) return undefined;
    const isLongEnough = this.#clock.monotonic() - sole.since >= milliseconds;
    return isLongEnough ? sole.softwareVersion : undefined;
  }

  /** Tokens that this instance's live requests may fill, by engine. */
  ownLiveTokens(): [string, number][] {
    return [...this.#ownTokens];
  }

  /** @param tokens tokens that the request may fill; 0 if not known. */
  beginRequest(engine: string, tokens = 0): void {
    addTo(this.#ownLive, engine, 1);
    addTo(this.#ownTokens, engine, tokens);
  }

  /** @param tokens the same number as in `beginRequest`. */
  endRequest(engine: string, tokens = 0): void {
    addTo(this.#ownLive, engine, -1);
    addTo(this.#ownTokens, engine, -tokens);
  }

  /** Adds the duration of a completed request to the engine's mean. */
  recordDuration(engine: string, milliseconds: number): void {
    const known = this.#meanDurations.get(engine);
    if (known) {
      known.mean += MEAN_SMOOTHING_FACTOR * (milliseconds - known.mean);
    } else this.#meanDurations.set(engine, { mean: Math.max(1, milliseconds) });
  }

  /** Engines of a service with their load, health and mean duration. */
  views(service: string): IEngineView[] {
    const isKnown = this.#clock.monotonic() - this.#loadReceivedAt <
      LOAD_LIFETIME_MILLISECONDS;
    const memoryTokens = this.#memoryOf(service);
    const tokensPerRequest = sumOf(this.#ownTokens) /
      Math.max(1, sumOf(this.#ownLive));
    return this.#list.engines
      .filter((engine) => engine.service === service)
      .map((engine) => {
        const others = isKnown ? this.#otherLoad.get(engine.id) : undefined;
        return {
          engine: this.#leaving.withAnnouncement(engine),
          live: (others?.live ?? 0) + (this.#ownLive.get(engine.id) ?? 0),
          bulk: others?.bulk ?? 0,
          // Only the leader knows the tokens of other instances' requests.
          liveTokens: (this.#ownTokens.get(engine.id) ?? 0) +
            (others?.live ?? 0) * tokensPerRequest,
          memoryTokens,
          isSuspect: this.#health.isSuspect(engine.id),
          meanMilliseconds: this.#meanDurations.get(engine.id)?.mean ??
            INITIAL_MEAN_MILLISECONDS,
        };
      });
  }

  /** Lists that were read before a suspension may be older than they seem. */
  #noticeSuspension(): void {
    const { disturbances } = this.#clockWatch;
    if (disturbances === this.#seenDisturbances) return;
    this.#seenDisturbances = disturbances;
    this.#soleVersions.interrupt(this.#clock.monotonic());
  }
}

function addTo(sums: Map<string, number>, key: string, change: number): void {
  const sum = (sums.get(key) ?? 0) + change;
  if (sum > 0) sums.set(key, sum);
  else sums.delete(key);
}

function sumOf(values: ReadonlyMap<string, number>): number {
  return [...values.values()].reduce((sum, value) => sum + value, 0);
}
