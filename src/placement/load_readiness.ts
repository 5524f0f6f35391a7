import type { Deadline, IClock } from "../common/mod.ts";
import type { LoadLedger } from "./load_ledger.ts";

/**
 * Time from the first report of an entry until the others have reported as
 * well, in milliseconds; the pause between two reports at 98 entries.
 */
const REPORT_SPREAD_MILLISECONDS = 250;

/** Longest wait for a report: there may be no entry at all, in ms. */
const MAXIMUM_WAIT_MILLISECONDS = 2_000;

/** Knows when a new leader has heard of the load that was there before it. */
export class LoadReadiness {
  #ledger: LoadLedger;
  #clock: IClock;
  #startedAt: Deadline;
  #firstReportAt: Deadline | undefined;

  constructor(ledger: LoadLedger, clock: IClock) {
    this.#ledger = ledger;
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
  }

  get isReady(): boolean {
    const now = this.#clock.monotonic();
    if (this.#ledger.hasReportSince("entry", this.#startedAt)) {
      this.#firstReportAt ??= now;
    }
    const firstReportAt = this.#firstReportAt ?? Number.POSITIVE_INFINITY;
    return now >= firstReportAt + REPORT_SPREAD_MILLISECONDS ||
      now >= this.#startedAt + MAXIMUM_WAIT_MILLISECONDS;
  }
}
