import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { Completions } from "./completions.ts";
import { partQuarantined, partReleased } from "./events.ts";
import {
  countCrashes,
  findHarmfulParts,
  findSuspects,
  type ICrashStatistics,
} from "./find_harmful_parts.ts";
import type { PartReport, PartVerdicts } from "./messages.ts";
import { isContentId } from "./request_content.ts";
import type { IBrokenRun } from "./types.ts";

/** Time for which broken runs are considered, in milliseconds. */
const BROKEN_RUN_LIFETIME_MILLISECONDS = 300_000;

/** Maximum number of broken runs that are considered, the newest ones. */
const MAXIMUM_BROKEN_RUNS = 2_000;

/**
 * Time for which instances are asked about a part before it is quarantined, in
 * milliseconds: two exchanges of an instance in the largest fleets.
 */
const HEARING_MILLISECONDS = 500;

/** Time for which a prompt part stays in quarantine, in milliseconds. */
const PART_QUARANTINE_MILLISECONDS = 600_000;

/**
 * The same for a request's content, in milliseconds. It affects no other
 * request, and each release costs engines if the caller still repeats it.
 */
const CONTENT_QUARANTINE_MILLISECONDS = 3_600_000;

/** Difference of times up to which two reports are of the same run, in ms. */
const SAME_RUN_MILLISECONDS = 1_000;

/**
 * Time after a broken run within which the engine cannot be back if it has
 * crashed, in milliseconds.
 */
const RESTART_MILLISECONDS = 1_000;

/** Interval between two evaluations of the broken runs, in milliseconds. */
const EVALUATION_INTERVAL_MILLISECONDS = 150;

/** Time without a report after which an instance's count is dropped. */
const REPORT_LIFETIME_MILLISECONDS = 3_000;

/**
 * Decides on the leader which prompt parts crash engines, from the broken and
 * the answered requests of all instances. Requests with such parts are refused
 * everywhere.
 */
export class PartJudge {
  #clock: IClock;
  #events: IEventLog;
  #completions: Completions;
  #brokenRuns: readonly IBrokenRun[] = [];
  /** Statistics of the broken runs; undefined when these have changed. */
  #statistics: ICrashStatistics | undefined;
  /** Completed requests that instances have reported. */
  #completedRequests = new Map<string, { count: number; until: Deadline }>();
  /** Suspects, with the time until which instances are asked about them. */
  #hearings = new Map<string, Deadline>();
  #quarantined = new Map<string, Deadline>();
  /** Times at which engines last passed a health check. */
  #aliveAt = new Map<string, Deadline>();
  #nextEvaluation = 0 as Deadline;

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
    this.#completions = new Completions(clock);
  }

  /**
   * Records that an engine was healthy at a point in time. Runs that it broke
   * off shortly before are no crashes.
   */
  recordAlive(engine: string, aliveAt: Deadline): void {
    this.#aliveAt.set(engine, aliveAt);
    this.#keepRuns((run) => this.#isCrash(run));
  }

  /** Receives the report of an instance; returns the answer to it. */
  receive(instance: string, report: PartReport): PartVerdicts {
    const now = this.#clock.monotonic();
    for (const { ageMilliseconds, ...run } of report.brokenRuns) {
      this.#add({ ...run, brokenAt: now - ageMilliseconds as Deadline });
    }
    this.#completedRequests.set(instance, {
      count: report.completedRequests,
      until: this.#clock.deadlineIn(REPORT_LIFETIME_MILLISECONDS),
    });
    for (const [part, milliseconds] of report.quarantined ?? []) {
      // The instance may not know yet that the part was released.
      const isReleased = this.#completions.isCleared(part);
      if (isReleased || this.#quarantined.has(part)) continue;
      this.#quarantined.set(part, this.#clock.deadlineIn(milliseconds));
    }
    for (const [part, ageMilliseconds] of report.clearedParts) {
      const answeredAt = now - ageMilliseconds as Deadline;
      this.#completions.clear(part, answeredAt);
      this.#clear(part, answeredAt);
    }
    this.#evaluate();
    return this.#verdicts();
  }

  /** Verdicts for an instance that reported nothing, if there are any. */
  findNews(): PartVerdicts | undefined {
    this.#evaluate();
    const hasNews = this.#hearings.size > 0 || this.#quarantined.size > 0;
    return hasNews ? this.#verdicts() : undefined;
  }

  #verdicts(): PartVerdicts {
    return {
      suspects: [...this.#hearings.keys()],
      quarantined: [...this.#quarantined].map((
        [part, expiresAt],
      ) => [part, Math.round(this.#clock.remaining(expiresAt))]),
    };
  }

  #isCrash({ engine, brokenAt }: IBrokenRun): boolean {
    const aliveAt = this.#aliveAt.get(engine);
    return aliveAt === undefined || aliveAt < brokenAt ||
      aliveAt - brokenAt > RESTART_MILLISECONDS;
  }

  #add(run: IBrokenRun): void {
    if (!this.#isCrash(run)) return;
    // An instance reports a run again if the answer to its report was lost.
    const isKnown = this.#brokenRuns.some(({ request, engine, brokenAt }) =>
      request === run.request && engine === run.engine &&
      Math.abs(brokenAt - run.brokenAt) < SAME_RUN_MILLISECONDS
    );
    if (isKnown) return;
    this.#brokenRuns = [...this.#brokenRuns, run].slice(-MAXIMUM_BROKEN_RUNS);
    this.#statistics = undefined;
  }

  #keepRuns(isKept: (run: IBrokenRun) => boolean): void {
    const kept = this.#brokenRuns.filter(isKept);
    if (kept.length === this.#brokenRuns.length) return;
    this.#brokenRuns = kept;
    this.#statistics = undefined;
  }

  #evaluate(): void {
    if (this.#brokenRuns.length + this.#quarantined.size === 0) return;
    if (!this.#clock.isPast(this.#nextEvaluation)) return;
    this.#nextEvaluation = this.#clock.deadlineIn(
      EVALUATION_INTERVAL_MILLISECONDS,
    );
    this.#removeExpired();
    const isCleared = (part: string) => this.#completions.isCleared(part);
    const isQuarantined = (part: string) => this.#quarantined.has(part);
    this.#statistics ??= countCrashes(this.#brokenRuns);
    const suspects = findSuspects(this.#statistics, { isCleared });
    this.#hearings = new Map(suspects.map((part) => [
      part,
      this.#hearings.get(part) ?? this.#clock.deadlineIn(HEARING_MILLISECONDS),
    ]));
    const counts = [...this.#completedRequests.values()];
    const harmful = findHarmfulParts(this.#statistics, {
      ...{ isCleared, isQuarantined },
      completedRequests: counts.reduce(
        (sum, { count }) => sum + count,
        this.#completions.count,
      ),
    });
    for (const { part, crashes, requests } of harmful) {
      const hearing = this.#hearings.get(part);
      if (!hearing || !this.#clock.isPast(hearing)) continue;
      const milliseconds = isContentId(part)
        ? CONTENT_QUARANTINE_MILLISECONDS
        : PART_QUARANTINE_MILLISECONDS;
      const expiresAt = this.#clock.deadlineIn(milliseconds);
      this.#quarantined.set(part, expiresAt);
      this.#events.emit(partQuarantined, {
        ...{ part, crashes: crashes.size, requests: requests.size },
        milliseconds,
      });
    }
  }

  #removeExpired(): void {
    const earliest = this.#clock.monotonic() - BROKEN_RUN_LIFETIME_MILLISECONDS;
    this.#keepRuns(({ brokenAt }) => brokenAt >= earliest);
    for (const [engine, aliveAt] of this.#aliveAt) {
      if (aliveAt < earliest) this.#aliveAt.delete(engine);
    }
    for (const [instance, { until }] of this.#completedRequests) {
      if (this.#clock.isPast(until)) this.#completedRequests.delete(instance);
    }
    for (const [part, expiresAt] of this.#quarantined) {
      if (!this.#clock.isPast(expiresAt)) continue;
      this.#quarantined.delete(part);
      this.#events.emit(partReleased, { part, reason: "time" });
    }
  }

  /**
   * Releases a part of which a request was answered. Runs that broke before
   * that are no evidence against it.
   */
  #clear(part: string, answeredAt: Deadline): void {
    const isEvidence = ({ brokenAt, parts }: IBrokenRun) =>
      brokenAt <= answeredAt && parts.includes(part);
    if (this.#brokenRuns.some(isEvidence)) {
      this.#brokenRuns = this.#brokenRuns.map((run) =>
        isEvidence(run)
          ? { ...run, parts: run.parts.filter((other) => other !== part) }
          : run
      );
      this.#statistics = undefined;
    }
    if (!this.#quarantined.delete(part)) return;
    this.#events.emit(partReleased, { part, reason: "answered" });
  }
}
