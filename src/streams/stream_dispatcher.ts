import { match } from "ts-pattern";
import { earlierDeadline, type IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type {
  EngineHealth,
  EngineTable,
  IPlacedRequest,
  ListedEngine,
  Placer,
  StreamOrigins,
} from "../placement/mod.ts";
import { type IPartObserver, isContentId } from "../quarantine/mod.ts";
import type { IEnginePaths } from "../relaying/mod.ts";
import { chooseService, type Route } from "../service_routes/mod.ts";
import {
  callerLeft,
  requestAnswered,
  requestFailed,
  requestPlaced,
  requestRefused,
} from "./events.ts";
import { FailureRecorder } from "./failure_recorder.ts";
import type {
  AttemptOutcome,
  FailedAttempt,
  IAttemptLimits,
  IBufferedAnswer,
  StreamAttempt,
} from "./stream_attempt.ts";
import type {
  ResumptionTarget,
  StreamOriginResolver,
} from "./stream_origin_resolver.ts";
import { type IRequestRun, partsOf } from "./request_run.ts";
import type { IAnswerSink, IForwardedRequest, ILocalFailure } from "./types.ts";

/** Time allowed for the first event beyond the expected wait, in ms. */
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 600;

/** Maximum gap between events of a stream that can fail over, in ms. */
const SILENCE_TIMEOUT_MILLISECONDS = 400;

/** Maximum attempts of one request, including those that an engine refused. */
const MAXIMUM_SENDS = 5;

/** Minimum remaining time for another attempt, in milliseconds. */
const MINIMUM_REMAINING_MILLISECONDS = 100;

/** Time after which a caller may retry when no engine is available, in ms. */
const NO_ENGINE_RETRY_MILLISECONDS = 500;

/**
 * Time beyond a request's deadline for which the origin of its stream is kept,
 * in milliseconds. A caller may wait longer than the route's timeout, which
 * limits the deadline.
 */
const ORIGIN_MARGIN_MILLISECONDS = 5_000;

/** Dependencies of a `StreamDispatcher`. */
export interface IStreamDispatcherOptions {
  readonly table: EngineTable;
  readonly health: EngineHealth;
  readonly attempt: StreamAttempt;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly placer: Placer;
  /** Streams that began on this instance. */
  readonly origins: StreamOrigins;
  readonly resolver: StreamOriginResolver;
  readonly parts: IPartObserver;
  readonly paths: IEnginePaths;
  readonly failureDomain: string;
  /** Source of random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** Forwards a request to engines until one has answered it. */
export class StreamDispatcher {
  #options: IStreamDispatcherOptions;
  #failures: FailureRecorder;

  constructor(options: IStreamDispatcherOptions) {
    this.#options = options;
    this.#failures = new FailureRecorder(options);
  }

  async dispatch(request: IForwardedRequest, sink: IAnswerSink): Promise<void> {
    const { route } = request;
    const run: IRequestRun = {
      request,
      sink,
      startedAt: this.#options.clock.monotonic(),
      deadline: earlierDeadline(request.deadline, request.routeDeadline),
      excluded: new Set(),
      progress: {
        lastEventId: undefined,
        firstByteAt: undefined,
        lastByteAt: undefined,
      },
      isIdempotent: route.kind === "safe" ||
        route.kind === "stream" && route.isResumable,
      service: chooseService(route, this.#options.random()),
      softwareVersion: undefined,
      possibleRuns: 0,
      sends: 0,
    };
    const isResumption = route.kind === "stream" &&
      request.lastEventId !== undefined;
    if (isResumption && !await this.#resolveOrigin(run)) return;
    while (!sink.signal.aborted) {
      const placement = await this.#reserveSlot(run);
      if (!placement) return;
      const outcome = await this.#send(run, placement);
      if (outcome.kind === "answered") return;
      if (!this.#mayRetry(run, outcome)) return this.#endFailed(run, outcome);
    }
    this.#reportCallerLeft(run);
  }

  /**
   * Determines where the stream of a caller may go on; refuses the request if
   * that is not known.
   */
  async #resolveOrigin(run: IRequestRun): Promise<boolean> {
    const { resumedRequest, route } = run.request;
    const { service, sink: { signal } } = run;
    const resumption = { route, resumedRequest, service, signal };
    const target = await this.#options.resolver.resolve(resumption);
    if (target && mayServe(route, target)) {
      run.service = target.service;
      run.softwareVersion = target.softwareVersion;
      return true;
    }
    if (signal.aborted) {
      this.#reportCallerLeft(run);
      return false;
    }
    const reason = target
      ? "the route no longer uses the service that began the stream"
      : "the software version that began the stream is not known";
    this.#refuse(run, reason, NO_ENGINE_RETRY_MILLISECONDS);
    return false;
  }

  /** Reserves an engine slot; answers the caller if there is none. */
  async #reserveSlot(run: IRequestRun): Promise<IPlacedRequest | undefined> {
    const { placer, clock, failureDomain, parts, paths, table } = this.#options;
    const { request, service, softwareVersion } = run;
    const quarantined = parts.findQuarantined(partsOf(request));
    if (quarantined) {
      this.#endUnplaced(run, {
        reason: isContentId(quarantined.part)
          ? `engines crash on this request, ${quarantined.part}`
          : `engines crash on prompt part ${quarantined.part}`,
        retryMilliseconds: clock.remaining(quarantined.expiresAt),
      });
      return undefined;
    }
    const remainingMilliseconds = clock.remaining(run.deadline);
    const hasBegun = run.possibleRuns > 0 || softwareVersion !== undefined;
    const placement = await placer.place({
      request: request.id,
      service,
      failureDomain,
      objectiveMilliseconds: request.route.objectiveMilliseconds,
      remainingMilliseconds,
      isReturned: request.isReturned || hasBegun,
      hasBegun,
      excluded: [...run.excluded],
      softwareVersion,
    });
    if (placement.kind === "engine") {
      // Without a path, further attempts would only delay the refusal.
      if (run.sends === 0 || paths.hasPath) return placement;
      table.endRequest(placement.engine.id);
      this.#endUnplaced(run, {
        reason: "no engine can be reached from here or through an instance",
        retryMilliseconds: NO_ENGINE_RETRY_MILLISECONDS,
      });
      return undefined;
    }
    const retryMilliseconds = placement.kind === "refused"
      ? placement.retryMilliseconds
      : NO_ENGINE_RETRY_MILLISECONDS;
    const reason = placement.kind === "refused"
      ? placement.missing === "rate"
        ? "the limits that the engines name are used up"
        : "no slot is expected to become free in time"
      : softwareVersion === undefined
      ? "no engine is known that may take the request"
      : "no engine of the stream's software version may take the request";
    this.#endUnplaced(run, { reason, retryMilliseconds });
    return undefined;
  }

  /** Ends a request that goes to no further engine. */
  #endUnplaced(
    run: IRequestRun,
    end: { reason: string; retryMilliseconds: number },
  ): void {
    const { reason, retryMilliseconds } = end;
    if (run.possibleRuns > 0) this.#fail(run, { kind: "failed", reason });
    else this.#refuse(run, reason, retryMilliseconds);
  }

  /** Refuses a request that has not run. */
  #refuse(run: IRequestRun, reason: string, retryMilliseconds: number): void {
    const { table, clock, events } = this.#options;
    const { request, service } = run;
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
    });
    run.sink.fail({ kind: "refused", reason, retryMilliseconds });
  }

  async #send(
    run: IRequestRun,
    placement: IPlacedRequest,
  ): Promise<AttemptOutcome> {
    const { table, health, events, clock, attempt, parts } = this.#options;
    const { request, sink, progress, isIdempotent } = run;
    const { engine, live, bulk, chosenBy } = placement;
    const waitMilliseconds = Math.round(placement.waitMilliseconds);
    run.sends += 1;
    run.excluded.add(engine.id);
    events.emit(requestPlaced, {
      request: request.id,
      route: request.route.name,
      service: engine.service,
      engine: engine.id,
      attempt: run.sends,
      live,
      bulk,
      waitMilliseconds,
      chosenBy,
      softwareVersion: engine.softwareVersion,
      lastEventId: progress.lastEventId ?? request.lastEventId,
      resumedRequest: request.resumedRequest,
      isResumed: progress.lastEventId !== undefined,
    });
    const startedAt = clock.monotonic();
    let outcome: AttemptOutcome;
    try {
      outcome = await attempt.run(engine, request, {
        sink,
        progress,
        // Open connections may have gone silent together.
        freshConnection: !isIdempotent || run.sends > 1,
        limits: this.#limits(run, waitMilliseconds),
        onFirstEvent: () => this.#recordOrigin(run, engine),
      });
    } finally {
      table.endRequest(engine.id);
    }
    await match(outcome)
      .with({ kind: "answered" }, ({ status }) => {
        table.recordDuration(engine.id, clock.monotonic() - startedAt);
        health.recordSuccess(engine.id);
        parts.recordCompletion(partsOf(request));
        this.#reportAnswer(run, engine.id, status);
      })
      .with(
        { kind: "failed" },
        (failed) =>
          this.#failures.record(run, engine.id, { failed, startedAt }),
      )
      .exhaustive();
    return outcome;
  }

  /** Records where a stream begins, before its caller can resume it. */
  #recordOrigin(run: IRequestRun, engine: ListedEngine): void {
    const { origins, clock } = this.#options;
    const { request } = run;
    const { service, softwareVersion } = engine;
    run.softwareVersion ??= softwareVersion;
    const isNamed = request.lastEventId === undefined ||
      request.resumedRequest !== undefined;
    if (!request.route.isResumable || !isNamed) return;
    origins.record({
      request: request.resumedRequest ?? request.id,
      ...{ service, softwareVersion },
      expiresAt: clock.deadlineIn(
        clock.remaining(request.deadline) + ORIGIN_MARGIN_MILLISECONDS,
      ),
    });
  }

  #limits(run: IRequestRun, waitMilliseconds: number): IAttemptLimits {
    const { clock } = this.#options;
    const { route } = run.request;
    return {
      mayFailOver: run.isIdempotent && run.possibleRuns + 1 < route.attempts,
      firstEventDeadline: earlierDeadline(
        clock.deadlineIn(waitMilliseconds + FIRST_EVENT_TIMEOUT_MILLISECONDS),
        run.deadline,
      ),
      silenceMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
      deadline: run.deadline,
    };
  }

  #mayRetry(
    run: IRequestRun,
    outcome: FailedAttempt,
  ): boolean {
    const { clock } = this.#options;
    const remaining = clock.remaining(run.deadline);
    if (remaining < MINIMUM_REMAINING_MILLISECONDS) return false;
    if (run.sends >= MAXIMUM_SENDS || run.sink.signal.aborted) return false;
    if (outcome.verdict === "not-run") return true;
    if (run.sink.hasBegun && run.progress.lastEventId === undefined) {
      return false;
    }
    return run.isIdempotent && run.possibleRuns < run.request.route.attempts;
  }

  /** Ends a request whose last attempt has failed. */
  #endFailed(run: IRequestRun, outcome: FailedAttempt): void {
    const { reason, answer } = outcome;
    if (answer && !run.sink.hasBegun && mayForward(answer)) {
      run.sink.begin(answer.status, answer.answer.headers);
      for (const bytes of answer.body) void run.sink.write(bytes);
      run.sink.end();
      return this.#reportAnswer(run, "", answer.status);
    }
    if (run.sink.signal.aborted) return this.#reportCallerLeft(run);
    if (run.possibleRuns === 0) {
      const retryMilliseconds = NO_ENGINE_RETRY_MILLISECONDS;
      return this.#fail(run, { kind: "refused", reason, retryMilliseconds });
    }
    const isLate = this.#options.clock.isPast(run.deadline);
    this.#fail(run, { kind: isLate ? "timeout" : "failed", reason });
  }

  #fail(run: IRequestRun, failure: ILocalFailure): void {
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

  #reportAnswer(run: IRequestRun, engine: string, status: number): void {
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

  #reportCallerLeft(run: IRequestRun): void {
    this.#options.events.emit(callerLeft, {
      request: run.request.id,
      milliseconds: this.#elapsed(run),
    });
  }

  #elapsed(run: IRequestRun): number {
    return Math.round(this.#options.clock.monotonic() - run.startedAt);
  }
}

/**
 * Whether an engine's error answer may be forwarded. The statuses below tell
 * the caller that the request did not run, which is not certain here.
 */
function mayForward({ status }: IBufferedAnswer): boolean {
  return ![408, 421, 429, 503].includes(status);
}

function mayServe(route: Route, { service }: ResumptionTarget): boolean {
  return route.shares.some((share) =>
    share.service === service && share.weight > 0
  );
}
