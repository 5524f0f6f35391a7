import type { ServiceLevelSeries } from "./messages.ts";

/** How a live request counts against its service's objective. */
export type ServiceLevelOutcome = "good" | "late" | "refused" | "failed";

/** A finished live request. */
export interface IServiceLevelSample {
  readonly service: string;
  readonly callerGroup: string;
  readonly outcome: ServiceLevelOutcome;
  /** Target of the last attempt. */
  readonly target: string | undefined;
  readonly failureDomain: string | undefined;
  /** Time to the first token, in milliseconds; undefined without one. */
  readonly firstTokenMilliseconds: number | undefined;
  /** Longest gap between two tokens, in milliseconds. */
  readonly betweenTokensMilliseconds: number | undefined;
}

/** Takes the outcome of every live request. */
export interface IServiceLevelRecorder {
  record(sample: IServiceLevelSample): void;
}

/** A recorder that hands out what it holds. */
export interface IServiceLevelReader extends IServiceLevelRecorder {
  read(): ServiceLevelSeries[];
  /** Like `read`, for callers that let other work run in between. */
  readEach(): Iterable<ServiceLevelSeries>;
}
