import type { ServiceLevelSeries } from "./messages.ts";

/** How a live request counts towards its service's objective. */
export type ServiceLevelOutcome = "good" | "late" | "refused" | "failed";

/** A finished live request. */
export interface IServiceLevelSample {
  readonly service: string;
  readonly callerGroup: string;
  readonly outcome: ServiceLevelOutcome;
  /** Target of the last attempt. */
  readonly target: string | undefined;
  readonly failureDomain: string | undefined;
  /** Time to the first token, in milliseconds; undefined without tokens. */
  readonly firstTokenMilliseconds: number | undefined;
  /** Longest gap between two tokens, in milliseconds. */
  readonly betweenTokensMilliseconds: number | undefined;
}

/** Records the outcome of every live request. */
export interface IServiceLevelRecorder {
  record(sample: IServiceLevelSample): void;
}

/** A recorder whose series can be read. */
export interface IServiceLevelReader extends IServiceLevelRecorder {
  read(): ServiceLevelSeries[];
  /**
   * Like `read`, but reads one series per step, so that the code that iterates
   * can yield to the event loop in between.
   */
  readEach(): Iterable<ServiceLevelSeries>;
}
