import type { Failure } from "../common/mod.ts";

/** An attempt at an engine that ended before its output was complete. */
export class GenerationError extends Error {
  /** Its verdict says whether the engine may have begun. */
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.message);
    this.failure = failure;
  }
}
