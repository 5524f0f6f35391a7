import { type Deadline, earlierDeadline } from "../common/mod.ts";
import type { IPlacedRequest } from "../placement/mod.ts";
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
  /** Slot to move to, reserved before a silent engine's answer is closed. */
  alternative: IPlacedRequest | undefined;
  /** Whether it was answered because the instance stops. */
  isEnded: boolean;
}

/** Begins a request at a service; it has not been placed yet. */
export function beginRun(
  request: IForwardedRequest,
  sink: IAnswerSink,
  options: { now: Deadline; service: string },
): IRequestRun {
  const { route } = request;
  return {
    ...{ request, sink },
    startedAt: options.now,
    deadline: earlierDeadline(request.deadline, request.routeDeadline),
    excluded: new Set(),
    progress: {
      lastEventId: undefined,
      firstByteAt: undefined,
      lastByteAt: undefined,
    },
    isIdempotent: route.kind === "safe" ||
      route.kind === "stream" && route.isResumable,
    service: options.service,
    softwareVersion: undefined,
    isAdmitted: false,
    isCounted: false,
    possibleRuns: 0,
    sends: 0,
    alternative: undefined,
    isEnded: false,
  };
}

/** Parts by which the request is judged, the most specific last. */
export function partsOf(
  { promptParts, contentIds }: IForwardedRequest,
): string[] {
  return [...promptParts, ...contentIds];
}
