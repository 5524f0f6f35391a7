import type { Deadline, IClock } from "../common/mod.ts";
import type { PlatformReport } from "./messages.ts";

/**
 * Time after which a target counts as live again if fewer than half of the
 * reporting instances report it as leaving.
 */
const MINORITY_REPORT_TIMEOUT_MILLISECONDS = 120_000;

interface IInstanceReport {
  leaving: ReadonlySet<string>;
  /** Time of the latest heartbeat of the reporting instance. */
  lastHeartbeatAt: Deadline;
}

/**
 * A target that fewer than half of the reporting instances have reported as
 * leaving for longer than the timeout.
 */
export interface IDoubtedTarget {
  readonly target: string;
  readonly reporters: number;
}

/**
 * Tracks the leaving targets of the fleet on the leader: the union of what
 * the instances report from their platform lists, without doubted targets.
 */
export class LeavingTargetTracker {
  #clock: IClock;
  #reports = new Map<string, IInstanceReport>();
  #reportedSince = new Map<string, Deadline>();
  #targets: readonly string[] = [];
  #doubted = new Set<string>();
  #revision = 1;

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  /** Leaving targets, sorted by identifier. */
  get targets(): readonly string[] {
    return this.#targets;
  }

  /** Increases with every change of the targets. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether a report of the instance is stored. */
  hasReportOf(instanceId: string): boolean {
    return this.#reports.has(instanceId);
  }

  /**
   * Records what an instance reports in a heartbeat. Without a report, its
   * previous one stays valid.
   */
  recordReport(instanceId: string, report: PlatformReport | undefined): void {
    const lastHeartbeatAt = this.#clock.monotonic();
    if (!report) {
      const earlier = this.#reports.get(instanceId);
      if (earlier) earlier.lastHeartbeatAt = lastHeartbeatAt;
      return;
    }
    const leaving = new Set(report.leaving);
    this.#reports.set(instanceId, { leaving, lastHeartbeatAt });
    this.#updateTargets();
  }

  /** Removes the report of an instance. */
  forget(instanceId: string): void {
    if (this.#reports.delete(instanceId)) this.#updateTargets();
  }

  /** Removes all reports. */
  clear(): void {
    this.#reports.clear();
    this.#reportedSince.clear();
    this.#doubted.clear();
    this.#updateTargets();
  }

  /**
   * Excludes targets that a minority has reported as leaving for longer than
   * the timeout, because the platform lists of these instances are probably
   * stale. Once the reporters are no longer a minority, a target is leaving
   * again. Returns the targets that were not excluded before.
   */
  excludeDoubtedTargets(): IDoubtedTarget[] {
    const now = this.#clock.monotonic();
    const newlyDoubted: IDoubtedTarget[] = [];
    for (const [target, since] of this.#reportedSince) {
      const reporters = this.#reportersOf(target);
      const isMinority = reporters * 2 < this.#reports.size;
      const hasTimedOut = now - since > MINORITY_REPORT_TIMEOUT_MILLISECONDS;
      if (!isMinority) {
        this.#doubted.delete(target);
      } else if (hasTimedOut && !this.#doubted.has(target)) {
        this.#doubted.add(target);
        newlyDoubted.push({ target, reporters });
      }
    }
    this.#updateTargets();
    return newlyDoubted;
  }

  #reportersOf(target: string): number {
    let reporters = 0;
    for (const { leaving } of this.#reports.values()) {
      if (leaving.has(target)) reporters += 1;
    }
    return reporters;
  }

  #updateTargets(): void {
    const reported = new Set<string>();
    for (const { leaving } of this.#reports.values()) {
      for (const target of leaving) reported.add(target);
    }
    for (const target of [...this.#reportedSince.keys()]) {
      if (reported.has(target)) continue;
      this.#reportedSince.delete(target);
      this.#doubted.delete(target);
    }
    for (const target of reported) {
      if (!this.#reportedSince.has(target)) {
        this.#reportedSince.set(target, this.#clock.monotonic());
      }
    }
    const targets = [...reported].filter((target) => !this.#doubted.has(target))
      .sort();
    if (JSON.stringify(targets) === JSON.stringify(this.#targets)) return;
    this.#targets = targets;
    this.#revision += 1;
  }
}
