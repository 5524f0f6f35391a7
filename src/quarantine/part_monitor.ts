import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { Completions } from "./completions.ts";
import { quarantineChanged } from "./events.ts";
import type { PartReport, PartVerdicts } from "./messages.ts";
import type { IBrokenRun, IPartObserver, IQuarantineEntry } from "./types.ts";

/** Time for which a broken run is reported to new leaders, in milliseconds. */
const BROKEN_RUN_LIFETIME_MILLISECONDS = 300_000;

/** Maximum number of broken runs that are kept; the oldest are dropped. */
const MAXIMUM_BROKEN_RUNS = 1_000;

interface IHeldRun extends IBrokenRun {
  /** Term of the leader that has received the run. */
  reportedTerm: number | undefined;
}

/**
 * Interval between two reports without news, in milliseconds. They refresh the
 * number of answered requests, and show the leader's verdicts.
 */
const REPORT_INTERVAL_MILLISECONDS = 1_000;

/** A report, with what is marked as received once it is answered. */
export interface IPreparedReport {
  readonly message: PartReport;
  readonly runs: readonly IHeldRun[];
}

/**
 * Observes on one instance which prompt parts are answered or broken off, and
 * holds the parts that the leader has put in quarantine.
 */
export class PartMonitor implements IPartObserver {
  #clock: IClock;
  #events: IEventLog;
  #completions: Completions;
  #brokenRuns: IHeldRun[] = [];
  #suspects: readonly string[] = [];
  #quarantined = new Map<string, Deadline>();
  /** Term of the leader that has received the parts in quarantine. */
  #mergedTerm: number | undefined;
  #nextReport = 0 as Deadline;

  constructor(clock: IClock, options: { events: IEventLog }) {
    this.#clock = clock;
    this.#events = options.events;
    this.#completions = new Completions(clock);
  }

  recordBrokenRun(run: Omit<IBrokenRun, "brokenAt">): void {
    if (run.parts.length === 0) return;
    const earliest = this.#clock.monotonic() - BROKEN_RUN_LIFETIME_MILLISECONDS;
    const recent = this.#brokenRuns
      .filter(({ brokenAt }) => brokenAt >= earliest)
      .slice(1 - MAXIMUM_BROKEN_RUNS);
    const brokenAt = this.#clock.monotonic();
    this.#brokenRuns = [...recent, {
      ...{ ...run, brokenAt, reportedTerm: undefined },
    }];
  }

  recordCompletion(parts: readonly string[]): void {
    this.#completions.record(parts);
  }

  findQuarantined(parts: readonly string[]): IQuarantineEntry | undefined {
    for (const part of parts) {
      const expiresAt = this.#quarantined.get(part);
      if (expiresAt === undefined) continue;
      if (!this.#clock.isPast(expiresAt)) return { part, expiresAt };
      this.#quarantined.delete(part);
    }
    return undefined;
  }

  /**
   * Prepares a report to the leader of a term. Returns undefined while there is
   * nothing new, since reports are sent with frequent calls.
   */
  report(term: number): IPreparedReport | undefined {
    const now = this.#clock.monotonic();
    const runs = this.#brokenRuns.filter(({ reportedTerm, brokenAt }) =>
      reportedTerm !== term &&
      brokenAt >= now - BROKEN_RUN_LIFETIME_MILLISECONDS
    );
    const isNewLeader = this.#mergedTerm !== term;
    const hasNews = runs.length > 0 || this.#suspects.length > 0 || isNewLeader;
    if (!hasNews && !this.#clock.isPast(this.#nextReport)) return undefined;
    this.#nextReport = this.#clock.deadlineIn(REPORT_INTERVAL_MILLISECONDS);
    const asked = [...this.#suspects, ...this.#quarantined.keys()];
    const message: PartReport = {
      brokenRuns: runs.map(({ engine, request, parts, brokenAt }) => ({
        ...{ engine, request, parts: [...parts] },
        ageMilliseconds: Math.round(now - brokenAt),
      })),
      completedRequests: this.#completions.count,
      clearedParts: asked
        .filter((part) => this.#completions.isCleared(part))
        .map((part) => [part, Math.round(this.#completions.age(part) ?? 0)]),
    };
    if (isNewLeader) {
      message.quarantined = [...this.#quarantined].map((
        [part, expiresAt],
      ) => [part, Math.round(this.#clock.remaining(expiresAt))]);
    }
    return { message, runs };
  }

  /** Applies the verdicts of the leader of a term, which answer a report. */
  applyVerdicts(
    { suspects, quarantined }: PartVerdicts,
    options: { term: number; report: IPreparedReport | undefined },
  ): void {
    const { term, report } = options;
    for (const run of report?.runs ?? []) run.reportedTerm = term;
    if (report?.message.quarantined) this.#mergedTerm = term;
    this.#suspects = suspects;
    const next = new Map(quarantined.map((
      [part, milliseconds],
    ) => [part, this.#clock.deadlineIn(milliseconds)]));
    // Until a new leader has received the parts, its answer lacks them.
    if (this.#mergedTerm !== term) {
      for (const [part, expiresAt] of this.#quarantined) {
        if (!next.has(part)) next.set(part, expiresAt);
      }
    }
    const isSame = next.size === this.#quarantined.size &&
      [...next.keys()].every((part) => this.#quarantined.has(part));
    this.#quarantined = next;
    if (isSame) return;
    this.#events.emit(quarantineChanged, { parts: [...next.keys()] });
  }
}
