import type { IRetryBudget } from "./types.ts";

/** Retries that each first attempt pays for. */
const RETRIES_PER_REQUEST = 0.1;

/** Retries that can be saved up; an engine may break many streams at once. */
const MAXIMUM_SAVED_RETRIES = 20;

/**
 * Retries of this instance as a share of its first attempts.
 *
 * As every instance keeps to the share, so does the fleet, without messages.
 */
export class RetryBudget implements IRetryBudget {
  #saved = MAXIMUM_SAVED_RETRIES;

  /** Retries that may be made at once. */
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
