import type { Deadline, IClock } from "../common/mod.ts";
import type { PlatformReport } from "./messages.ts";

/**
 * Time after which a target that fewer than half of the reporting instances
 * call leaving counts as live again, in milliseconds.
 */
const MINORITY_REPORT_TIMEOUT_MILLISECONDS = 120_000;

interface IInstanceReport {
  leaving: ReadonlySet<string>;
  /** When the reporting instance was last heard. */
  lastHeartbeatAt: Deadline;
}

/** A target that few instances have called leaving for a long time. */
export interface IDoubtedTarget {
  readonly target: string;
  readonly reporters: number;
}

/** Union of the platform lists of the fleet, on the log's leader. */
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

  /** Targets that are leaving, sorted. */
  get targets(): readonly string[] {
    return this.#targets;
  }

  /** Rises with every change of the targets. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether this instance's list is known. */
  hasReportOf(instanceId: string): boolean {
    return this.#reports.has(instanceId);
  }

  /** Takes what an instance's list says; without a report it said the same. */
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

  /** Forgets the list of an instance that is lost. */
  forget(instanceId: string): void {
    if (this.#reports.delete(instanceId)) this.#updateTargets();
  }

  /** Returns to the empty state. */
  clear(): void {
    this.#reports.clear();
    this.#reportedSince.clear();
    this.#doubted.clear();
    this.#updateTargets();
  }

  /** Drops targets that only late lists call leaving; returns the new ones. */
  excludeDoubtedTargets(): IDoubtedTarget[] {
    const now = this.#clock.monotonic();
    const newlyDoubted: IDoubtedTarget[] = [];
    for (const [target, since] of this.#reportedSince) {
      const reporters = this.#reportersOf(target);
      const isMinority = reporters * 2 < this.#reports.size;
      const isOld = now - since > MINORITY_REPORT_TIMEOUT_MILLISECONDS;
      if (!isMinority) {
        this.#doubted.delete(target);
      } else if (isOld && !this.#doubted.has(target)) {
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
