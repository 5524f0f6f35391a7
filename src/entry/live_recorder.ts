import { match } from "ts-pattern";
import type {
  IServiceLevelRecorder,
  ServiceLevelOutcome,
} from "../burn/types.ts";
import type { Failure, FailureCode, IClock } from "../common/mod.ts";
import type { Engine, Objective } from "../configuration/mod.ts";
import { StreamTiming } from "../dispatch/mod.ts";
import type { ITraceRecorder } from "../explain/types.ts";
import type { ICounter, IHistogram, IMetrics } from "../metrics/types.ts";
import type { IGenerationRequest } from "./generation_request.ts";
import type { ICallerRequest } from "./types.ts";

/** Options of a live recorder. */
export interface ILiveRecorderOptions {
  readonly clock: IClock;
  readonly trace: ITraceRecorder;
  readonly serviceLevels: IServiceLevelRecorder;
  readonly metrics: IMetrics;
}

/** Records live requests in traces, service levels and metrics. */
export class LiveRecorder {
  readonly trace: ITraceRecorder;
  readonly serviceLevels: IServiceLevelRecorder;
  readonly clock: IClock;
  readonly requests: ICounter;
  readonly firstToken: IHistogram;
  readonly betweenTokens: IHistogram;

  constructor(options: ILiveRecorderOptions) {
    this.trace = options.trace;
    this.serviceLevels = options.serviceLevels;
    this.clock = options.clock;
    this.requests = options.metrics.counter(
      "figroad_live_requests_total",
      "Live requests by service and result",
    );
    this.firstToken = options.metrics.histogram(
      "figroad_live_first_token_milliseconds",
      "Time to the first token of live requests",
    );
    this.betweenTokens = options.metrics.histogram(
      "figroad_live_longest_gap_milliseconds",
      "Longest gap between two tokens of a live request",
    );
  }

  /** Starts the record of one request. */
  begin(request: ICallerRequest, live: IGenerationRequest): LiveRecord {
    return new LiveRecord(this, request, live);
  }
}

/** Record of one live request. */
export class LiveRecord {
  /** Engine of the latest attempt. */
  engine: Engine | undefined;
  readonly timing: StreamTiming;
  #recorder: LiveRecorder;
  #request: ICallerRequest;
  #live: IGenerationRequest;

  constructor(
    recorder: LiveRecorder,
    request: ICallerRequest,
    live: IGenerationRequest,
  ) {
    this.timing = new StreamTiming(recorder.clock);
    this.#recorder = recorder;
    this.#request = request;
    this.#live = live;
  }

  /** Records the end of the request: its failure, or success without one. */
  finish(failure?: Failure): void {
    const { trace, requests, firstToken, betweenTokens } = this.#recorder;
    const result = failure?.code ?? "done";
    trace.record(this.#request.id, finalStep(failure?.code), {
      target: this.engine?.id,
      reason: failure?.message,
    });
    const service = this.#live.grant.service.name;
    requests.add(1, { service, result });
    const first = this.timing.firstTokenMilliseconds;
    const gap = this.timing.longestGapMilliseconds;
    if (first !== undefined) firstToken.record(first, { service });
    if (gap !== undefined) betweenTokens.record(gap, { service });
    this.#recordServiceLevel(failure?.code);
  }

  #recordServiceLevel(code: FailureCode | undefined): void {
    const { service } = this.#live.grant;
    const outcome = classifyOutcome(service.objective, code, this.timing);
    if (!outcome) return;
    this.#recorder.serviceLevels.record({
      service: service.name,
      callerGroup: this.#request.caller.group,
      outcome,
      target: this.engine?.id,
      failureDomain: this.engine?.failureDomain,
      firstTokenMilliseconds: this.timing.firstTokenMilliseconds,
      betweenTokensMilliseconds: this.timing.longestGapMilliseconds,
    });
  }
}

/** Returns the name of the last step in the trace of a request. */
function finalStep(code: FailureCode | undefined): string {
  return match(code)
    .with(undefined, () => "done")
    .with("cancelled", () => "cancelled")
    .with("overloaded", "limit-exceeded", () => "refused")
    .otherwise(() => "failed");
}

/**
 * Classifies the outcome of a request against the objective of its service.
 *
 * Returns undefined for outcomes that only the caller is responsible for.
 */
function classifyOutcome(
  objective: Objective,
  code: FailureCode | undefined,
  timing: StreamTiming,
): ServiceLevelOutcome | undefined {
  if (code === undefined) {
    const first = timing.firstTokenMilliseconds ?? 0;
    const gap = timing.longestGapMilliseconds ?? 0;
    const isLate = first > objective.firstTokenMilliseconds ||
      gap > objective.betweenTokensMilliseconds;
    return isLate ? "late" : "good";
  }
  return match(code)
    .with("overloaded", "limit-exceeded", () => "refused" as const)
    .with("deadline-exceeded", () => "late" as const)
    .with(
      "unavailable",
      "not-leader",
      "target-error",
      "storage-error",
      "internal",
      () => "failed" as const,
    )
    .with(
      "bad-request",
      "unauthorized",
      "forbidden",
      "not-found",
      "too-large",
      "conflict",
      "already-begun",
      "cancelled",
      () => undefined,
    )
    .exhaustive();
}
