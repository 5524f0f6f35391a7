import type { Deadline } from "../common/mod.ts";
import type { IStreamProgress } from "./stream_attempt.ts";
import type { IAnswerSink, IForwardedRequest } from "./types.ts";

/** State of one request across its attempts. */
export interface IRequestRun {
  readonly request: IForwardedRequest;
  readonly sink: IAnswerSink;
  readonly startedAt: Deadline;
  readonly deadline: Deadline;
  readonly excluded: Set<string>;
  readonly progress: IStreamProgress;
  readonly isIdempotent: boolean;
  service: string;
  /** Software version that began the stream; undefined before its first event. */
  softwareVersion: string | undefined;
  /** Whether the caller's limit has admitted the request. */
  isAdmitted: boolean;
  /** Whether it counts as in progress for its caller. */
  isCounted: boolean;
  /** Number of engines on which the request may have run. */
  possibleRuns: number;
  sends: number;
}

/** Parts by which the request is judged, the most specific last. */
export function partsOf(
  { promptParts, contentIds }: IForwardedRequest,
): string[] {
  return [...promptParts, ...contentIds];
}
