import type { CallerCount, CallerUseReport } from "./messages.ts";

/** Requests of callers on this instance, as it reports them to the leader. */
export class CallerActivity {
  #inProgress = new Map<string, number>();
  /** Use that no report contains yet. */
  #unreported = new Map<string, number>();
  #batch: number;
  #report: CallerUseReport | undefined;

  /**
   * @param batch number before the first report; higher than those that this
   * instance used before a restart.
   */
  constructor(batch: number) {
    this.#batch = batch;
  }

  /** Requests in progress by caller. */
  inProgress(): CallerCount[] {
    return [...this.#inProgress];
  }

  /** Requests of a caller in progress. */
  countOf(caller: string): number {
    return this.#inProgress.get(caller) ?? 0;
  }

  begin(caller: string): void {
    add(this.#inProgress, caller, 1);
  }

  end(caller: string): void {
    add(this.#inProgress, caller, -1);
  }

  /** Counts a request that was admitted without the leader. */
  recordAdmitted(caller: string): void {
    add(this.#unreported, caller, 1);
  }

  /** Counts a request that was admitted and then could not be served. */
  recordUnserved(caller: string): void {
    add(this.#unreported, caller, -1);
  }

  /** The report to send; the same until it is confirmed. */
  report(): CallerUseReport | undefined {
    if (this.#report || this.#unreported.size === 0) return this.#report;
    this.#batch += 1;
    this.#report = { batch: this.#batch, counts: [...this.#unreported] };
    this.#unreported.clear();
    return this.#report;
  }

  /** Records that the leader has received a report. */
  confirm(report: CallerUseReport): void {
    if (report.batch === this.#report?.batch) this.#report = undefined;
  }
}

function add(counts: Map<string, number>, caller: string, change: number) {
  const count = (counts.get(caller) ?? 0) + change;
  if (count === 0) counts.delete(caller);
  else counts.set(caller, count);
}
