import type { IClock } from "../common/mod.ts";
import { type Deadline, type IDisposable } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { targetEjected, targetRestored } from "./events.ts";
import type { IRandom, ITargetHealth } from "./types.ts";

/** Consecutive failures after which a target is ejected. */
const FAILURES_TO_EJECT = 3;

/** Duration of the first ejection; it doubles with each further one. */
const INITIAL_EJECTION_MILLISECONDS = 1_000;

/** Upper bound of an ejection's duration, before jitter. */
const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** Maximum jitter added to an ejection, as a percentage of its duration. */
const JITTER_PERCENT = 50;

/** Maximum number of targets whose history is kept. */
const MAXIMUM_TARGETS = 10_000;

interface IHistory {
  failures: number;
  ejections: number;
  /** Time from which a probe may be sent to the target; set while ejected. */
  probeFrom: Deadline | undefined;
  probing: boolean;
}

/**
 * Circuit breaker that ejects targets after consecutive failures.
 *
 * An ejected target gets no requests until its ejection ends, then one probe at
 * a time: a success restores the target, a failure ejects it for twice as
 * long.
 */
export class TargetHealth implements ITargetHealth {
  #histories = new Map<string, IHistory>();
  #clock: IClock;
  #random: IRandom;
  #events: IEventLog;

  constructor(
    options: { clock: IClock; random: IRandom; events: IEventLog },
  ) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#events = options.events;
  }

  stateOf(targetId: string): "healthy" | "probe" | "ejected" {
    const history = this.#histories.get(targetId);
    if (history?.probeFrom === undefined) return "healthy";
    if (history.probing) return "ejected";
    return this.#clock.isPast(history.probeFrom) ? "probe" : "ejected";
  }

  beginProbe(targetId: string): IDisposable {
    const history = this.#histories.get(targetId);
    if (history?.probeFrom === undefined) return { dispose: () => {} };
    history.probing = true;
    return { dispose: () => history.probing = false };
  }

  reportSuccess(targetId: string): void {
    const history = this.#histories.get(targetId);
    if (!history) return;
    this.#histories.delete(targetId);
    if (history.probeFrom === undefined) return;
    this.#events.emit(targetRestored, { target: targetId });
  }

  reportFailure(targetId: string): void {
    const history = this.#historyOf(targetId);
    history.failures += 1;
    if (history.failures < FAILURES_TO_EJECT) return;
    // Streams that failed together with the one that caused the ejection must
    // not extend it.
    const ejected = history.probeFrom !== undefined;
    if (ejected && !history.probing) return;
    this.#eject(targetId, history);
  }

  #eject(targetId: string, history: IHistory): void {
    const base = Math.min(
      MAXIMUM_EJECTION_MILLISECONDS,
      INITIAL_EJECTION_MILLISECONDS * 2 ** history.ejections,
    );
    const jitter = base * this.#random.below(JITTER_PERCENT) / 100;
    history.ejections += 1;
    history.probeFrom = this.#clock.deadlineIn(base + jitter);
    history.probing = false;
    this.#events.emit(targetEjected, {
      target: targetId,
      failures: history.failures,
      milliseconds: Math.round(base + jitter),
    });
  }

  #historyOf(targetId: string): IHistory {
    const known = this.#histories.get(targetId);
    if (known) return known;
    const [oldest] = this.#histories.keys();
    if (this.#histories.size >= MAXIMUM_TARGETS && oldest !== undefined) {
      this.#histories.delete(oldest);
    }
    const history = {
      failures: 0,
      ejections: 0,
      probeFrom: undefined,
      probing: false,
    };
    this.#histories.set(targetId, history);
    return history;
  }
}
