import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { engineSuspected, engineTrusted } from "./events.ts";

/** Time for which an engine is avoided after its first failure. */
const INITIAL_AVOIDANCE_MILLISECONDS = 400;

/** Upper bound of the time for which a failing engine is avoided. */
const MAXIMUM_AVOIDANCE_MILLISECONDS = 3_200;

interface ISuspicion {
  failures: number;
  avoidUntil: Deadline;
}

/**
 * Tracks the health of engines by the outcomes of this instance's own requests.
 * The time for which an engine is avoided doubles with each failure in a row.
 */
export class EngineHealth {
  #clock: IClock;
  #events: IEventLog;
  #suspicions = new Map<string, ISuspicion>();
  #leaderSuspects: ReadonlySet<string> = new Set();

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
  }

  /** Replaces the engines that fail the leader's health checks. */
  setLeaderSuspects(engines: readonly string[]): void {
    this.#leaderSuspects = new Set(engines);
  }

  /** Records that the engine failed a request. */
  recordFailure(engine: string, reason: string): void {
    const failures = (this.#suspicions.get(engine)?.failures ?? 0) + 1;
    const avoidance = Math.min(
      INITIAL_AVOIDANCE_MILLISECONDS * 2 ** (failures - 1),
      MAXIMUM_AVOIDANCE_MILLISECONDS,
    );
    const avoidUntil = this.#clock.deadlineIn(avoidance);
    this.#suspicions.set(engine, { failures, avoidUntil });
    this.#events.emit(engineSuspected, { engine, failures, reason });
  }

  /** Records that the engine answered a request or sent an event. */
  recordSuccess(engine: string): void {
    if (!this.#suspicions.delete(engine)) return;
    this.#events.emit(engineTrusted, { engine });
  }

  /** Trusts all engines that this instance has suspected. */
  clear(): void {
    this.#suspicions.clear();
  }

  isSuspect(engine: string): boolean {
    if (this.#leaderSuspects.has(engine)) return true;
    const suspicion = this.#suspicions.get(engine);
    return suspicion !== undefined && !this.#clock.isPast(suspicion.avoidUntil);
  }

  /** Engines that this instance avoids because of its own requests. */
  suspects(): string[] {
    return [...this.#suspicions]
      .filter(([, { avoidUntil }]) => !this.#clock.isPast(avoidUntil))
      .map(([engine]) => engine);
  }

  /** Removes all engines but the given ones. */
  retainEngines(engines: ReadonlySet<string>): void {
    for (const engine of this.#suspicions.keys()) {
      if (!engines.has(engine)) this.#suspicions.delete(engine);
    }
  }
}
