import type { Deadline, IClock } from "../common/mod.ts";
import type { PlatformReport } from "./messages.ts";

/**
 * Time after which a target that fewer than half of the reporting instances
 * call leaving counts as live again, in milliseconds.
 */
const DOUBT_AFTER_MILLISECONDS = 120_000;

interface IReport {
  leaving: ReadonlySet<string>;
  /** When the reporting instance was last heard. */
  heardAt: Deadline;
}

/** A target that few instances have called leaving for a long time. */
export interface IDoubtedTarget {
  readonly target: string;
  readonly reporters: number;
}

/** Union of the platform lists of the fleet, on the log's leader. */
export class LeavingTargets {
  #clock: IClock;
  #reports = new Map<string, IReport>();
  #since = new Map<string, Deadline>();
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
  hear(instanceId: string, report: PlatformReport | undefined): void {
    const heardAt = this.#clock.monotonic();
    if (!report) {
      const earlier = this.#reports.get(instanceId);
      if (earlier) earlier.heardAt = heardAt;
      return;
    }
    const leaving = new Set(report.leaving);
    this.#reports.set(instanceId, { leaving, heardAt });
    this.#review();
  }

  /** Forgets the list of an instance that is lost. */
  forget(instanceId: string): void {
    if (this.#reports.delete(instanceId)) this.#review();
  }

  /** Returns to the empty state. */
  clear(): void {
    this.#reports.clear();
    this.#since.clear();
    this.#doubted.clear();
    this.#review();
  }

  /** Drops targets that only late lists call leaving; returns the new ones. */
  doubt(): IDoubtedTarget[] {
    const now = this.#clock.monotonic();
    const found: IDoubtedTarget[] = [];
    for (const [target, since] of this.#since) {
      const reporters = this.#reportersOf(target);
      const isMinority = reporters * 2 < this.#reports.size;
      const isOld = now - since > DOUBT_AFTER_MILLISECONDS;
      if (!isMinority) {
        this.#doubted.delete(target);
      } else if (isOld && !this.#doubted.has(target)) {
        this.#doubted.add(target);
        found.push({ target, reporters });
      }
    }
    this.#review();
    return found;
  }

  #reportersOf(target: string): number {
    let reporters = 0;
    for (const { leaving } of this.#reports.values()) {
      if (leaving.has(target)) reporters += 1;
    }
    return reporters;
  }

  #review(): void {
    const named = new Set<string>();
    for (const { leaving } of this.#reports.values()) {
      for (const target of leaving) named.add(target);
    }
    for (const target of [...this.#since.keys()]) {
      if (named.has(target)) continue;
      this.#since.delete(target);
      this.#doubted.delete(target);
    }
    for (const target of named) {
      if (!this.#since.has(target)) {
        this.#since.set(target, this.#clock.monotonic());
      }
    }
    const targets = [...named].filter((target) => !this.#doubted.has(target))
      .sort();
    if (JSON.stringify(targets) === JSON.stringify(this.#targets)) return;
    this.#targets = targets;
    this.#revision += 1;
  }
}
