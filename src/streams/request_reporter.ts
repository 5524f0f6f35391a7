import { match } from "ts-pattern";
import type { IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type {
  EngineTable,
  ICallerLimits,
  IPlacedRequest,
  ListedEngine,
} from "../placement/mod.ts";
import {
  callerLeft,
  requestAnswered,
  requestFailed,
  requestPlaced,
  requestRefused,
} from "./events.ts";
import type { IRequestRun } from "./request_run.ts";
import type { ILocalFailure } from "./types.ts";

/** Dependencies of a `RequestReporter`. */
export interface IRequestReporterOptions {
  readonly table: Pick<EngineTable, "views">;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly callers?: ICallerLimits | undefined;
  readonly failureDomain: string;
}

/** Logs what happens to requests, and answers those that figroad ends. */
export class RequestReporter {
  #options: IRequestReporterOptions;

  constructor(options: IRequestReporterOptions) {
    this.#options = options;
  }

  placed(run: IRequestRun, placement: IPlacedRequest): void {
    const { request, progress } = run;
    const { engine, live, bulk, chosenBy } = placement;
    this.#options.events.emit(requestPlaced, {
      request: request.id,
      route: request.route.name,
      service: engine.service,
      engine: engine.id,
      attempt: run.sends,
      live,
      bulk,
      waitMilliseconds: Math.round(placement.waitMilliseconds),
      caller: request.caller,
      crossing: this.#crossingReason(engine),
      chosenBy,
      softwareVersion: engine.softwareVersion,
      lastEventId: progress.lastEventId ?? request.lastEventId,
      resumedRequest: request.resumedRequest,
      isResumed: progress.lastEventId !== undefined,
    });
  }

  /** Refuses a request that has not run. */
  refuse(
    run: IRequestRun,
    refusal: {
      kind: "refused" | "limited";
      reason: string;
      retryMilliseconds: number;
    },
  ): void {
    const { table, clock, events } = this.#options;
    const { request, service } = run;
    const { reason, retryMilliseconds } = refusal;
    const views = table.views(service);
    events.emit(requestRefused, {
      request: request.id,
      route: request.route.name,
      service,
      reason,
      retryMilliseconds: Math.round(retryMilliseconds),
      remainingMilliseconds: Math.round(clock.remaining(run.deadline)),
      engines: views.length,
      live: views.reduce((sum, { live }) => sum + live, 0),
      bulk: views.reduce((sum, { bulk }) => sum + bulk, 0),
      ...this.#describeCaller(request.caller),
    });
    run.sink.fail(refusal);
  }

  /** Ends a request whose last attempt has failed. */
  fail(run: IRequestRun, failure: ILocalFailure): void {
    const { sink, request } = run;
    this.#options.events.emit(requestFailed, {
      request: request.id,
      kind: failure.kind,
      reason: failure.reason,
      hadBegun: sink.hasBegun,
      milliseconds: this.#elapsed(run),
    });
    if (sink.hasBegun) sink.abort();
    else sink.fail(failure);
  }

  answered(run: IRequestRun, engine: string, status: number): void {
    const firstByteAt = run.progress.firstByteAt ??
      this.#options.clock.monotonic();
    this.#options.events.emit(requestAnswered, {
      request: run.request.id,
      engine,
      status,
      attempts: run.sends,
      firstMilliseconds: Math.round(firstByteAt - run.startedAt),
      milliseconds: this.#elapsed(run),
    });
  }

  callerLeft(run: IRequestRun): void {
    this.#options.events.emit(callerLeft, {
      request: run.request.id,
      milliseconds: this.#elapsed(run),
    });
  }

  #crossingReason({ failureDomain, service }: ListedEngine) {
    const { table, failureDomain: own } = this.#options;
    if (failureDomain === own) return undefined;
    const isUsable = table.views(service).some(({ engine, isSuspect }) =>
      engine.failureDomain === own && !engine.isLeaving && !isSuspect
    );
    return isUsable ? "no-slot" : "no-engine";
  }

  #describeCaller(caller: string | undefined) {
    const { callers } = this.#options;
    if (caller === undefined || !callers) return {};
    const limit = callers.limitOf(caller);
    return {
      caller,
      callerPerSecond: limit?.requestsPerSecond,
      callerBurst: limit?.burst,
      routesVersion: callers.version(),
      callerInProgress: callers.activity.countOf(caller),
    };
  }

  #elapsed(run: IRequestRun): number {
    return Math.round(this.#options.clock.monotonic() - run.startedAt);
  }
}

/** Describes what the refused request lacked. */
export function refusalReason(
  missing: "slot" | "rate" | "caller-limit" | "share" | "memory" | undefined,
): string {
  return match(missing)
    .with("rate", () => "the limits that the engines name are used up")
    .with("caller-limit", () => "the caller's limit of requests is used up")
    .with("memory", () => "no engine has memory for the request's tokens")
    .with("share", () => "the caller uses its share of the slots already")
    .otherwise(() => "no slot is expected to become free in time");
}
