import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { Engine, IConfigurationSource } from "../configuration/mod.ts";
import type { IEngineAdapter } from "../targets/mod.ts";
import type { ILoadReports, IReceivedLoadReport } from "./types.ts";

/** Interval between two requests for a report. */
const POLL_INTERVAL_MILLISECONDS = 125;

/** Timeout of a request for a report. */
const REPORT_TIMEOUT_MILLISECONDS = 1_000;

/** Maximum number of requests for a report in flight. */
const MAXIMUM_PENDING_REPORTS = 8;

/** Time after its last request for which a service is in use. */
const SERVICE_IN_USE_MILLISECONDS = 10_000;

/**
 * Polls the engines of the services in use for their load, round-robin.
 *
 * The polling rate does not depend on the number of engines. With many engines,
 * reports are therefore older and have little weight, and the counted streams
 * decide.
 */
export class LoadReportPoller implements ILoadReports, IDisposable {
  #engines: IEngineAdapter;
  #configuration: IConfigurationSource;
  #clock: IClock;
  #reports = new Map<string, IReceivedLoadReport>();
  #usedUntil = new Map<string, Deadline>();
  #queue: Engine[] = [];
  #pending = 0;
  #stop = new AbortController();

  constructor(
    engines: IEngineAdapter,
    configuration: IConfigurationSource,
    options: { clock: IClock },
  ) {
    this.#engines = engines;
    this.#configuration = configuration;
    this.#clock = options.clock;
  }

  reportOf(engineId: string): IReceivedLoadReport | undefined {
    return this.#reports.get(engineId);
  }

  markInUse(service: string): void {
    const until = this.#clock.deadlineIn(SERVICE_IN_USE_MILLISECONDS);
    this.#usedUntil.set(service, until);
  }

  /** Starts the polling task. */
  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stop.abort();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(POLL_INTERVAL_MILLISECONDS);
      if (this.#pending < MAXIMUM_PENDING_REPORTS) void this.#pollNext();
      await this.#clock.sleepUntil(next, signal);
    }
  }

  async #pollNext(): Promise<void> {
    if (this.#queue.length === 0) this.#fillQueue();
    const engine = this.#queue.shift();
    if (!engine) return;
    this.#pending += 1;
    const answer = await this.#engines.loadReport(engine, {
      deadline: this.#clock.deadlineIn(REPORT_TIMEOUT_MILLISECONDS),
    });
    this.#pending -= 1;
    if (answer.isErr()) return;
    const receivedAt = this.#clock.monotonic();
    this.#reports.set(engine.id, { report: answer.value, receivedAt });
  }

  #fillQueue(): void {
    for (const [service, until] of this.#usedUntil) {
      if (this.#clock.isPast(until)) this.#usedUntil.delete(service);
    }
    const configuration = this.#configuration.current;
    if (!configuration) return;
    const services = [...this.#usedUntil.keys()];
    this.#queue = services.flatMap((name) => configuration.enginesOf(name));
    this.#removeUnusedReports();
  }

  #removeUnusedReports(): void {
    const used = new Set(this.#queue.map(({ id }) => id));
    for (const id of this.#reports.keys()) {
      if (!used.has(id)) this.#reports.delete(id);
    }
  }
}
