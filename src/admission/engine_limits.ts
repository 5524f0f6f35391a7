import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { engineLimitChanged, engineLimitIgnored } from "./events.ts";
import type { ReportedEngineLimit } from "./messages.ts";

/**
 * Time without any word on it after which a limit is forgotten, in
 * milliseconds. Engines that are gone need no limit.
 */
const LIMIT_LIFETIME_MILLISECONDS = 600_000;

/** Maximum number of engines whose limits are kept; the oldest are dropped. */
const MAXIMUM_ENGINES = 10_000;

/** Interval between two log lines about ignored limits. */
const IGNORED_LOG_INTERVAL_MILLISECONDS = 60_000;

/** Differences of observation times that a transfer may cause, in ms. */
const TRANSFER_MILLISECONDS = 1_000;

interface IEngineLimit {
  /** Requests a second; undefined if the engine named a limit before only. */
  perSecond: number | undefined;
  /** Time as of which the engine is known to say this. */
  observedAt: Deadline;
  /** Term of the leader that has received the limit. */
  reportedTerm: number | undefined;
}

/**
 * Limits that engines name in their answers for the requests that they take
 * from all machines together.
 *
 * Instances exchange what they have heard, and the latest word counts. A limit
 * ends with an answer that names none, if its request was sent after the last
 * answer that named one: answers on different connections can overtake each
 * other.
 */
export class EngineLimits {
  #clock: IClock;
  #events: IEventLog;
  #limits = new Map<string, IEngineLimit>();
  #ignored = 0;
  #nextIgnoredLog = 0 as Deadline;

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
  }

  /** Requests a second that the engine takes; undefined without a limit. */
  limitOf(engine: string): number | undefined {
    return this.#limits.get(engine)?.perSecond;
  }

  /** Number of engines that name a limit. */
  get count(): number {
    let count = 0;
    for (const { perSecond } of this.#limits.values()) {
      if (perSecond !== undefined) count += 1;
    }
    return count;
  }

  /** Records a limit that an answer has just named. */
  recordLimit(engine: string, perSecond: number): void {
    const observedAt = this.#clock.monotonic();
    this.#update(engine, { perSecond, observedAt }, "answer");
  }

  /**
   * Records that an answer named no limit.
   *
   * @param sentAt time at which its request was sent.
   */
  recordNoLimit(engine: string, sentAt: Deadline): void {
    const known = this.#limits.get(engine);
    if (known?.perSecond === undefined || sentAt <= known.observedAt) return;
    const observation = { perSecond: undefined, observedAt: sentAt };
    this.#update(engine, observation, "answer");
  }

  /** Counts a limit that cannot be read; it changes nothing. */
  ignoreMalformed(engine: string): void {
    this.#ignored += 1;
    if (!this.#clock.isPast(this.#nextIgnoredLog)) return;
    this.#nextIgnoredLog = this.#clock.deadlineIn(
      IGNORED_LOG_INTERVAL_MILLISECONDS,
    );
    this.#events.emit(engineLimitIgnored, { engine, count: this.#ignored });
  }

  /**
   * Takes over what another instance has heard.
   *
   * @param term term of the leader that sent it; undefined on the leader.
   */
  merge(reported: readonly ReportedEngineLimit[], term?: number): void {
    const now = this.#clock.monotonic();
    for (const [engine, limit, ageMilliseconds] of reported) {
      const observedAt = now - ageMilliseconds as Deadline;
      const known = this.#limits.get(engine);
      const perSecond = limit ?? undefined;
      const isSame = known !== undefined && known.perSecond === perSecond;
      // The same word comes back a little younger with each transfer.
      const isNews = known === undefined ||
        observedAt > known.observedAt + (isSame ? TRANSFER_MILLISECONDS : 0);
      if (isNews) this.#update(engine, { perSecond, observedAt }, "peer");
      const current = this.#limits.get(engine);
      const isTaken = current !== undefined && current.perSecond === perSecond;
      if (isTaken && term !== undefined) current.reportedTerm = term;
    }
  }

  /** Limits that the leader of a term has not received. */
  unreported(term: number): ReportedEngineLimit[] {
    return this.#toReports((limit) => limit.reportedTerm !== term);
  }

  /** Records that the leader of a term has received limits. */
  markReported(reported: readonly ReportedEngineLimit[], term: number): void {
    for (const [engine, perSecond] of reported) {
      const limit = this.#limits.get(engine);
      const isSame = limit && limit.perSecond === (perSecond ?? undefined);
      if (isSame) limit.reportedTerm = term;
    }
  }

  /**
   * Whether the leader of a term counts requests to the engine; true if it
   * names no limit.
   */
  isKnownToLeader(engine: string, term: number): boolean {
    const limit = this.#limits.get(engine);
    return limit?.perSecond === undefined || limit.reportedTerm === term;
  }

  /** All limits, and those that ended of late. */
  all(): ReportedEngineLimit[] {
    return this.#toReports(() => true);
  }

  #toReports(
    isIncluded: (limit: IEngineLimit) => boolean,
  ): ReportedEngineLimit[] {
    this.#removeOld();
    const now = this.#clock.monotonic();
    return [...this.#limits]
      .filter(([, limit]) => isIncluded(limit))
      .map(([engine, { perSecond, observedAt }]) => [
        engine,
        perSecond ?? null,
        Math.max(0, Math.round(now - observedAt)),
      ]);
  }

  #update(
    engine: string,
    observation: Pick<IEngineLimit, "perSecond" | "observedAt">,
    source: "answer" | "peer",
  ): void {
    const known = this.#limits.get(engine);
    const isChange = known?.perSecond !== observation.perSecond;
    const reportedTerm = isChange ? undefined : known?.reportedTerm;
    this.#limits.delete(engine);
    this.#limits.set(engine, { ...observation, reportedTerm });
    this.#removeOld();
    if (!isChange) return;
    const { perSecond, observedAt } = observation;
    this.#events.emit(engineLimitChanged, {
      engine,
      ...perSecond !== undefined && { perSecond },
      source,
      ageMilliseconds: Math.round(this.#clock.monotonic() - observedAt),
    });
  }

  #removeOld(): void {
    const earliest = this.#clock.monotonic() - LIMIT_LIFETIME_MILLISECONDS;
    for (const [engine, { observedAt }] of this.#limits) {
      const isFull = this.#limits.size > MAXIMUM_ENGINES;
      if (!isFull && observedAt >= earliest) return;
      this.#limits.delete(engine);
    }
  }
}
