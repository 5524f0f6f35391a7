import type { IRetryBudget } from "./types.ts";

/** Retries added to the budget by each first attempt. */
const RETRIES_PER_REQUEST = 0.1;

/**
 * Upper bound of the budget. It allows for a burst of retries, since an engine
 * failure can break many streams at once.
 */
const MAXIMUM_SAVED_RETRIES = 20;

/**
 * Limits this instance's retries to a share of its first attempts.
 *
 * Since every instance keeps to the share, the fleet does as well, without any
 * messages between instances.
 */
export class RetryBudget implements IRetryBudget {
  #saved = MAXIMUM_SAVED_RETRIES;

  /** Retries that may be made now. */
  get saved(): number {
    return this.#saved;
  }

  get isSpent(): boolean {
    return this.#saved < 1;
  }

  deposit(): void {
    this.#saved = Math.min(
      MAXIMUM_SAVED_RETRIES,
      this.#saved + RETRIES_PER_REQUEST,
    );
  }

  withdraw(): boolean {
    if (this.isSpent) return false;
    this.#saved -= 1;
    return true;
  }
}
