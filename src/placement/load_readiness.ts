import type { Deadline, IClock } from "../common/mod.ts";
import type { LoadLedger } from "./load_ledger.ts";

/**
 * Time after the first report of an entry within which the others report as
 * well: the interval between two reports with 98 entries.
 */
const REPORT_SPREAD_MILLISECONDS = 250;

/**
 * Time after which the load counts as known even without a report, since there
 * may be no entry at all.
 */
const REPORT_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Tells whether a new leader has received reports of the load that existed
 * before its term.
 */
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
      now >= this.#startedAt + REPORT_TIMEOUT_MILLISECONDS;
  }
}
