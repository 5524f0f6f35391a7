import type { Deadline } from "../common/mod.ts";

/** A request whose run was broken off by its engine. */
export interface IBrokenRun {
  readonly engine: string;
  readonly request: string;
  /**
   * Prompt parts that the request shares with others, in order, and then the
   * identifiers of its content.
   */
  readonly parts: readonly string[];
  readonly brokenAt: Deadline;
}

/** Learns how the runs of requests end. */
export interface IPartObserver {
  /** Records that an engine broke off a run. */
  recordBrokenRun(run: Omit<IBrokenRun, "brokenAt">): void;
  /** Records that a request with these parts was answered completely. */
  recordCompletion(parts: readonly string[]): void;
  /** The first of these parts that is in quarantine. */
  findQuarantined(parts: readonly string[]): IQuarantineEntry | undefined;
}

/** A prompt part or request content whose requests are refused. */
export interface IQuarantineEntry {
  readonly part: string;
  readonly expiresAt: Deadline;
}
