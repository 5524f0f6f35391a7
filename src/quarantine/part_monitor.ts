import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { Completions } from "./completions.ts";
import { partQuarantined, quarantineChanged } from "./events.ts";
import { countCrashes, findHarmfulParts } from "./find_harmful_parts.ts";
import type { PartReport, PartVerdicts } from "./messages.ts";
import type { IBrokenRun, IPartObserver, IQuarantineEntry } from "./types.ts";

/** Time for which a broken run is reported to new leaders, in milliseconds. */
const BROKEN_RUN_LIFETIME_MILLISECONDS = 300_000;

/** Maximum number of broken runs that are kept; the oldest are dropped. */
const MAXIMUM_BROKEN_RUNS = 1_000;

/** Time without the leader after which this instance decides itself, in ms. */
const OUT_OF_TOUCH_MILLISECONDS = 1_000;

/**
 * Time for which requests are refused by this instance's own decision, in
 * milliseconds. It does not see where they may have been answered.
 */
const OWN_QUARANTINE_MILLISECONDS = 60_000;

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
  /** Request contents that this instance refuses by its own decision. */
  #ownQuarantine = new Map<string, Deadline>();
  #leaderAnsweredAt = Number.NEGATIVE_INFINITY;
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
    if (this.#isOutOfTouch) this.#decideAlone();
  }

  /** Records that the leader has answered a call. */
  recordLeaderContact(): void {
    this.#leaderAnsweredAt = this.#clock.monotonic();
  }

  recordCompletion(parts: readonly string[]): void {
    this.#completions.record(parts);
  }

  findQuarantined(parts: readonly string[]): IQuarantineEntry | undefined {
    const decisions = this.#isOutOfTouch
      ? [this.#quarantined, this.#ownQuarantine]
      : [this.#quarantined];
    for (const quarantine of decisions) {
      for (const part of parts) {
        const expiresAt = quarantine.get(part);
        if (expiresAt === undefined) continue;
        if (!this.#clock.isPast(expiresAt)) return { part, expiresAt };
        quarantine.delete(part);
      }
    }
    return undefined;
  }

  get #isOutOfTouch(): boolean {
    const silence = this.#clock.monotonic() - this.#leaderAnsweredAt;
    return silence > OUT_OF_TOUCH_MILLISECONDS;
  }

  /**
   * Finds harmful requests by the runs of this instance only. Prompt parts are
   * left to the leader, as other requests with them may have been answered.
   */
  #decideAlone(): void {
    const harmful = findHarmfulParts(countCrashes(this.#brokenRuns), {
      isCleared: (part) => this.#completions.isCleared(part),
      isQuarantined: (part) => this.#ownQuarantine.has(part),
      completedRequests: 0,
    });
    for (const { part, crashes, requests } of harmful) {
      const expiresAt = this.#clock.deadlineIn(OWN_QUARANTINE_MILLISECONDS);
      this.#ownQuarantine.set(part, expiresAt);
      this.#events.emit(partQuarantined, {
        ...{ part, crashes: crashes.size, requests: requests.size },
        milliseconds: OWN_QUARANTINE_MILLISECONDS,
      });
    }
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
