import type { IEngineRateLimiter } from "../admission/mod.ts";
import {
  ClockWatch,
  type Deadline,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { engineListUnreadable, probeFailed, probeSucceeded } from "./events.ts";
import { revisionOf } from "./exchange_client.ts";
import type { EngineList } from "./messages.ts";
import { type SoleVersionReport, SoleVersions } from "./sole_versions.ts";
import type { IEngineListSource, ListedEngine } from "./types.ts";

/** Interval at which the platform's engine list is read. */
const LIST_READ_INTERVAL_MILLISECONDS = 700;

/** Timeout for reading the platform's engine list. */
const LIST_READ_TIMEOUT_MILLISECONDS = 1_000;

/** Pause between two rounds of health checks. */
const PROBE_INTERVAL_MILLISECONDS = 300;

/** Timeout of the health check of one engine. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

/** Checks the health of an engine. */
export interface IEngineProbe {
  /** @throws Error when the engine does not answer that it is healthy. */
  check(engine: ListedEngine, signal: AbortSignal): Promise<void>;
}

/** Dependencies of an `EngineDirectory`. */
export interface IEngineDirectoryOptions {
  readonly list: IEngineListSource;
  readonly probe: IEngineProbe;
  readonly clock: IClock;
  readonly events: IEventLog;
  /** Suspected engines, with the number of instances that suspect each. */
  readonly suspectCounts: () => ReadonlyMap<string, number>;
  readonly limiter: IEngineRateLimiter;
  /** Called after each health check that an engine passed, with its start. */
  readonly onHealthy: (engine: string, checkedAt: Deadline) => void;
}

/**
 * Keeps the list of engines and the results of their health checks, on the
 * leader.
 */
export class EngineDirectory implements IDisposable {
  #options: IEngineDirectoryOptions;
  #list: EngineList = { revision: "", engines: [] };
  #readAt = Number.NEGATIVE_INFINITY as Deadline;
  #clockWatch: ClockWatch;
  #soleVersions = new SoleVersions();
  /** Suspected engines whose health check failed as well. */
  #failing = new Set<string>();
  #stopping = new AbortController();

  constructor(options: IEngineDirectoryOptions) {
    this.#options = options;
    this.#clockWatch = new ClockWatch(options.clock);
  }

  get list(): EngineList {
    return this.#list;
  }

  /**
   * Age of the list in milliseconds; very large before the first read, and
   * after a suspension of this machine, for which the age is not known.
   */
  get listAge(): number {
    if (!this.#isListContinuous) return Number.MAX_SAFE_INTEGER;
    const age = this.#options.clock.monotonic() - this.#readAt;
    return Math.min(age, Number.MAX_SAFE_INTEGER);
  }

  /** Services that have one software version only, and for how long. */
  get soleVersions(): SoleVersionReport[] {
    if (!this.#isListContinuous) return [];
    return this.#soleVersions.report(this.#options.clock.monotonic());
  }

  get failing(): ReadonlySet<string> {
    return this.#failing;
  }

  start(): void {
    void this.#pollList();
    void this.#probeSuspects();
  }

  dispose(): void {
    this.#stopping.abort();
  }

  /** Whether this machine was not suspended since it read the list. */
  get #isListContinuous(): boolean {
    return this.#clockWatch.isContinuousSince(this.#readAt);
  }

  async #pollList(): Promise<void> {
    const { clock, list, events } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = clock.deadlineIn(LIST_READ_INTERVAL_MILLISECONDS);
      try {
        const timeout = AbortSignal.timeout(LIST_READ_TIMEOUT_MILLISECONDS);
        const requestedAt = clock.monotonic();
        const wasContinuous = this.#isListContinuous;
        const engines = await list.read(AbortSignal.any([timeout, signal]));
        this.#list = { revision: revisionOf(engines), engines: [...engines] };
        this.#readAt = requestedAt;
        if (!wasContinuous) this.#soleVersions.interrupt(requestedAt);
        this.#soleVersions.confirm(requestedAt);
        this.#soleVersions.update(engines);
      } catch (error) {
        if (signal.aborted) return;
        events.emit(engineListUnreadable, {
          reason: (error as Error).message,
          ageMilliseconds: Math.round(Math.min(this.listAge, 1e9)),
        });
      }
      await clock.sleepUntil(next, signal);
    }
  }

  /** Probes suspected engines, and failing ones until they recover. */
  async #probeSuspects(): Promise<void> {
    const { clock, suspectCounts } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleepUntil(
        clock.deadlineIn(PROBE_INTERVAL_MILLISECONDS),
        signal,
      );
      const suspects = suspectCounts();
      const listed = new Set(this.#list.engines.map(({ id }) => id));
      for (const id of this.#failing) {
        if (!listed.has(id)) this.#failing.delete(id);
      }
      await Promise.all(
        this.#list.engines
          .filter(({ id }) => suspects.has(id) || this.#failing.has(id))
          .map((engine) => this.#check(engine)),
      );
    }
  }

  async #check(engine: ListedEngine): Promise<void> {
    const { probe, events, limiter, clock, onHealthy } = this.#options;
    const { id } = engine;
    if (limiter.waitMilliseconds(id) > 0) return;
    limiter.take(id);
    const checkedAt = clock.monotonic();
    try {
      await probe.check(
        engine,
        AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS),
      );
      onHealthy(id, checkedAt);
      if (this.#failing.delete(id)) {
        events.emit(probeSucceeded, { engine: id });
      }
    } catch (error) {
      const reason = (error as Error).message;
      if (!this.#failing.has(id)) {
        events.emit(probeFailed, { engine: id, reason });
      }
      this.#failing.add(id);
    }
  }
}
