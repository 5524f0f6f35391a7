import type { Failure } from "../common/mod.ts";

/** An attempt at an engine or target that failed before its output ended. */
export class GenerationError extends Error {
  /** Its verdict states whether the request may have run. */
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.message);
    this.failure = failure;
  }
}
