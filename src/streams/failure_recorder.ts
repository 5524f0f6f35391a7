import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { EngineHealth } from "../placement/mod.ts";
import type { IPartObserver } from "../quarantine/mod.ts";
import type { IEnginePaths } from "../relaying/mod.ts";
import { attemptFailed } from "./events.ts";
import { type IRequestRun, partsOf } from "./request_run.ts";
import type { FailedAttempt } from "./stream_attempt.ts";

/** Dependencies of a `FailureRecorder`. */
export interface IFailureRecorderOptions {
  readonly health: EngineHealth;
  readonly parts: IPartObserver;
  readonly paths: IEnginePaths;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/**
 * Records failed attempts. An engine is blamed only if this instance reaches
 * other engines, so that the loss of its own links does not count as a fault of
 * every engine, or as a crash under the request.
 */
export class FailureRecorder {
  #options: IFailureRecorderOptions;

  constructor(options: IFailureRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records that an engine has not begun to answer in time, though the request
   * stays there.
   */
  async recordDelay(
    run: IRequestRun,
    engine: string,
    { startedAt }: { startedAt: Deadline },
  ): Promise<void> {
    const { health, paths } = this.#options;
    const { signal } = run.sink;
    if (signal.aborted || await paths.checkLinks(startedAt)) return;
    health.recordFailure(engine, "the engine has not begun to answer in time");
  }

  async record(
    run: IRequestRun,
    engine: string,
    options: { failed: FailedAttempt; startedAt: Deadline },
  ): Promise<void> {
    const { health, events, parts, paths, clock } = this.#options;
    const { request, sink: { signal }, progress } = run;
    const { failed, startedAt } = options;
    const { verdict, reason, fault, isBroken } = failed;
    const milliseconds = Math.round(clock.monotonic() - startedAt);
    if (verdict === "may-have-run") run.possibleRuns += 1;
    const aliveAt = progress.lastByteAt ?? startedAt;
    const isOwnFault = fault === "connection" && !signal.aborted &&
      await paths.checkLinks(aliveAt > startedAt ? aliveAt : startedAt);
    const isEngineAsked = fault !== "relay" && !isOwnFault;
    if (verdict === "not-run" && !isEngineAsked) run.excluded.delete(engine);
    const isEngineFault = fault === "engine" || fault === "connection";
    if (isEngineFault && !isOwnFault && !signal.aborted) {
      health.recordFailure(engine, reason);
    }
    if (isBroken && !isOwnFault) {
      const runParts = partsOf(request);
      parts.recordBrokenRun({ engine, request: request.id, parts: runParts });
    }
    events.emit(attemptFailed, {
      request: request.id,
      engine,
      attempt: run.sends,
      verdict,
      reason,
      fault: isOwnFault ? "own-links" : fault,
      promptParts: [...request.promptParts],
      content: request.contentIds.at(-1),
      lastEventId: progress.lastEventId,
      milliseconds,
    });
  }
}
