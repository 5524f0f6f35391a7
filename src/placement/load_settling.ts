import type { Deadline, IClock } from "../common/mod.ts";
import type { LoadLedger } from "./load_ledger.ts";

/**
 * Time from the first report of an entry until the others have reported as
 * well, in milliseconds; the pause between two reports at 98 entries.
 */
const SETTLE_MILLISECONDS = 250;

/** Longest wait for a report: there may be no entry at all, in ms. */
const LONGEST_WAIT_MILLISECONDS = 2_000;

/** Knows when a new leader has heard of the load that was there before it. */
export class LoadSettling {
  #ledger: LoadLedger;
  #clock: IClock;
  #startedAt: Deadline;
  #heardAt: Deadline | undefined;

  constructor(ledger: LoadLedger, clock: IClock) {
    this.#ledger = ledger;
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
  }

  get isSettled(): boolean {
    const now = this.#clock.monotonic();
    if (this.#ledger.hasHeardSince("entry", this.#startedAt)) {
      this.#heardAt ??= now;
    }
    const heardAt = this.#heardAt ?? Number.POSITIVE_INFINITY;
    return now >= heardAt + SETTLE_MILLISECONDS ||
      now >= this.#startedAt + LONGEST_WAIT_MILLISECONDS;
  }
}
