import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { engineSuspected, engineTrusted } from "./events.ts";

/** First time for which a failing engine is avoided, in milliseconds. */
const FIRST_AVOIDANCE_MILLISECONDS = 400;

/** Longest time for which a failing engine is avoided, in milliseconds. */
const LONGEST_AVOIDANCE_MILLISECONDS = 3_200;

interface IDoubt {
  failures: number;
  avoidUntil: Deadline;
}

/** Judges engines by the outcomes of this instance's own requests. */
export class EngineHealth {
  #clock: IClock;
  #events: IEventLog;
  #doubts = new Map<string, IDoubt>();
  #reported: ReadonlySet<string> = new Set();

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
  }

  /** Takes on which engines the leader finds failing. */
  report(engines: readonly string[]): void {
    this.#reported = new Set(engines);
  }

  /** A request failed by the engine's doing. */
  failed(engine: string, reason: string): void {
    const failures = (this.#doubts.get(engine)?.failures ?? 0) + 1;
    const avoidance = Math.min(
      FIRST_AVOIDANCE_MILLISECONDS * 2 ** (failures - 1),
      LONGEST_AVOIDANCE_MILLISECONDS,
    );
    const avoidUntil = this.#clock.deadlineIn(avoidance);
    this.#doubts.set(engine, { failures, avoidUntil });
    this.#events.emit(engineSuspected, { engine, failures, reason });
  }

  /** The engine answered a request or sent an event. */
  answered(engine: string): void {
    if (!this.#doubts.delete(engine)) return;
    this.#events.emit(engineTrusted, { engine });
  }

  isSuspect(engine: string): boolean {
    if (this.#reported.has(engine)) return true;
    const doubt = this.#doubts.get(engine);
    return doubt !== undefined && !this.#clock.isPast(doubt.avoidUntil);
  }

  /** Engines that this instance finds failing now. */
  suspects(): string[] {
    return [...this.#doubts]
      .filter(([, { avoidUntil }]) => !this.#clock.isPast(avoidUntil))
      .map(([engine]) => engine);
  }

  /** Forgets engines that are gone. */
  keep(engines: ReadonlySet<string>): void {
    for (const engine of this.#doubts.keys()) {
      if (!engines.has(engine)) this.#doubts.delete(engine);
    }
  }
}
