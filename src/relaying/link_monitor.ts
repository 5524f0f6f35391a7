import {
  type Deadline,
  Emitter,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { enginesReachable, enginesUnreachable } from "./events.ts";
import type { IEngineConnector, ILinkState } from "./types.ts";

/** Engines that are tried in one check. */
const SAMPLE_SIZE = 4;

/** Time in which a connection to an engine must open. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Interval between checks while this instance is cut off. */
const RECHECK_INTERVAL_MILLISECONDS = 500;

/** Dependencies of a `LinkMonitor`. */
export interface ILinkMonitorOptions {
  readonly engines: () => readonly ListedEngine[];
  readonly connector: IEngineConnector;
  readonly events: IEventLog;
  /** Source of random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/**
 * Distinguishes failing engines from the loss of this instance's own links.
 *
 * A failed request is a reason to check: the instance is cut off if it opens a
 * connection to none of several engines in different failure domains. Only new
 * connections count, since those that are open may go on working while new
 * ones fail. The first connection that opens ends the state.
 */
export class LinkMonitor implements ILinkState, IDisposable {
  #clock: IClock;
  #options: ILinkMonitorOptions;
  #connectedAt = Number.NEGATIVE_INFINITY;
  #cutOffSince: number | undefined;
  #runningCheck: Promise<boolean> | undefined;
  #stopping = new AbortController();

  #cutOff = new Emitter<void>();
  /** Fires when this instance finds that it reaches no engine. */
  readonly onCutOff = this.#cutOff.event;

  constructor(clock: IClock, options: ILinkMonitorOptions) {
    this.#clock = clock;
    this.#options = options;
  }

  get isCutOff(): boolean {
    return this.#cutOffSince !== undefined;
  }

  /** Records that a new connection to an engine has opened. */
  recordConnected(): void {
    const now = this.#clock.monotonic();
    this.#connectedAt = now;
    if (this.#cutOffSince === undefined) return;
    const milliseconds = Math.round(now - this.#cutOffSince);
    this.#cutOffSince = undefined;
    this.#options.events.emit(enginesReachable, { milliseconds });
  }

  async check(since: Deadline): Promise<boolean> {
    if (this.isCutOff) return true;
    if (this.#connectedAt >= since) return false;
    this.#runningCheck ??= this.#tryEngines();
    return await this.#runningCheck;
  }

  dispose(): void {
    this.#stopping.abort();
  }

  async #tryEngines(): Promise<boolean> {
    const { engines, random, events } = this.#options;
    const sample = sampleAcrossDomains(engines(), random);
    const startedAt = this.#clock.monotonic();
    const isReached = await this.#connectsToAny(sample);
    this.#runningCheck = undefined;
    // A request of this instance may have opened a connection meanwhile.
    if (isReached || this.#connectedAt > startedAt) return false;
    if (sample.length === 0 || this.#stopping.signal.aborted) return false;
    this.#cutOffSince = this.#clock.monotonic();
    events.emit(enginesUnreachable, {
      tried: sample.map(({ id }) => id),
      listed: engines().length,
    });
    void this.#recheckUntilReached();
    this.#cutOff.fire();
    return true;
  }

  async #recheckUntilReached(): Promise<void> {
    const { engines, random } = this.#options;
    const { signal } = this.#stopping;
    while (this.isCutOff && !signal.aborted) {
      const next = this.#clock.deadlineIn(RECHECK_INTERVAL_MILLISECONDS);
      await this.#clock.sleepUntil(next, signal);
      await this.#connectsToAny(sampleAcrossDomains(engines(), random));
    }
  }

  async #connectsToAny(engines: readonly ListedEngine[]): Promise<boolean> {
    const { connector } = this.#options;
    const ended = new AbortController();
    const signal = AbortSignal.any([ended.signal, this.#stopping.signal]);
    const deadline = this.#clock.deadlineIn(CONNECT_TIMEOUT_MILLISECONDS);
    try {
      await Promise.any(
        engines.map((engine) =>
          connector.connect(engine, { deadline, signal })
        ),
      );
      this.recordConnected();
      return true;
    } catch {
      // The connections' errors are expected here; the caller logs the result.
      return false;
    } finally {
      ended.abort();
    }
  }
}

/** Chooses engines at random, from as many failure domains as possible. */
function sampleAcrossDomains(
  engines: readonly ListedEngine[],
  random: () => number,
): ListedEngine[] {
  const shuffled = engines
    .map((engine) => ({ engine, order: random() }))
    .sort((first, second) => first.order - second.order)
    .map(({ engine }) => engine);
  const seen = new Map<string, number>();
  return shuffled
    .map((engine) => {
      const round = seen.get(engine.failureDomain) ?? 0;
      seen.set(engine.failureDomain, round + 1);
      return { engine, round };
    })
    .sort((first, second) => first.round - second.round)
    .slice(0, SAMPLE_SIZE)
    .map(({ engine }) => engine);
}
