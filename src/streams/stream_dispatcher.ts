import { match } from "ts-pattern";
import { earlierDeadline, type IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type {
  EngineHealth,
  EngineTable,
  ICallerLimits,
  IPlacedRequest,
  ListedEngine,
  Placer,
  StreamOrigins,
} from "../placement/mod.ts";
import { type IPartObserver, isContentId } from "../quarantine/mod.ts";
import type { IEnginePaths } from "../relaying/mod.ts";
import { chooseService, type Route } from "../service_routes/mod.ts";
import { FailureRecorder } from "./failure_recorder.ts";
import type {
  AttemptOutcome,
  FailedAttempt,
  IAlternative,
  IAttemptLimits,
  IBufferedAnswer,
  StreamAttempt,
} from "./stream_attempt.ts";
import type {
  ResumptionTarget,
  StreamOriginResolver,
} from "./stream_origin_resolver.ts";
import { refusalReason, RequestReporter } from "./request_reporter.ts";
import { beginRun, type IRequestRun, partsOf } from "./request_run.ts";
import { SlotReserver } from "./slot_reserver.ts";
import type { IAnswerSink, IForwardedRequest } from "./types.ts";

/** Time allowed for the first event beyond the expected wait, in ms. */
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 600;

/** Maximum gap between events of a stream that can fail over, in ms. */
const SILENCE_TIMEOUT_MILLISECONDS = 400;

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
  /** Limits of callers with keys; absent if requests need no key. */
  readonly callers?: ICallerLimits;
  readonly failureDomain: string;
  /** Source of random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** Why a request is refused, and when its caller may come back. */
interface IRefusal {
  /** Whether engines or the caller's limit are at fault. */
  readonly kind: "refused" | "limited";
  readonly reason: string;
  readonly retryMilliseconds: number;
}

/** Forwards a request to engines until one has answered it. */
export class StreamDispatcher {
  #options: IStreamDispatcherOptions;
  #failures: FailureRecorder;
  #reporter: RequestReporter;
  #slots: SlotReserver;
  /** Requests that have not ended. */
  #runs = new Set<IRequestRun>();

  constructor(options: IStreamDispatcherOptions) {
    this.#options = options;
    this.#failures = new FailureRecorder(options);
    this.#reporter = new RequestReporter(options);
    this.#slots = new SlotReserver(options);
  }

  async dispatch(request: IForwardedRequest, sink: IAnswerSink): Promise<void> {
    const { clock, random } = this.#options;
    const run = beginRun(request, sink, {
      now: clock.monotonic(),
      service: chooseService(request.route, random()),
    });
    this.#runs.add(run);
    try {
      await this.#run(run);
    } finally {
      this.#runs.delete(run);
      this.#slots.release(run);
      const { caller } = request;
      if (run.isCounted && caller !== undefined) {
        this.#options.callers?.activity.end(caller);
      }
    }
  }

  /**
   * Answers the requests whose answers have not begun; none of them is sent to
   * an engine any more.
   */
  endUnanswered(reason: string): void {
    for (const run of this.#runs) {
      if (run.sink.hasBegun || run.sink.signal.aborted) continue;
      run.isEnded = true;
      const retryMilliseconds = NO_ENGINE_RETRY_MILLISECONDS;
      if (run.sends > 0) this.#reporter.fail(run, { kind: "failed", reason });
      else this.#refuse(run, { kind: "refused", reason, retryMilliseconds });
    }
  }

  async #run(run: IRequestRun): Promise<void> {
    const { request: { route, lastEventId }, sink } = run;
    const isResumption = route.kind === "stream" &&
      lastEventId !== undefined;
    if (isResumption && !await this.#resolveOrigin(run)) return;
    while (!sink.signal.aborted) {
      const placement = await this.#reserveSlot(run);
      if (!placement) return;
      const outcome = await this.#send(run, placement);
      if (outcome.kind === "answered" || run.isEnded) return;
      // A paused engine may be used again if the other one refuses.
      if (run.alternative) run.excluded.delete(placement.engine.id);
      const mayRetry = run.alternative !== undefined ||
        this.#mayRetry(run, outcome);
      if (!mayRetry) return this.#endFailed(run, outcome);
    }
    this.#reporter.callerLeft(run);
  }

  /**
   * Determines where the stream of a caller may go on; refuses the request if
   * that is not known.
   */
  async #resolveOrigin(run: IRequestRun): Promise<boolean> {
    const { resumedRequest, route } = run.request;
    const { signal } = run.sink;
    const resumption = { route, resumedRequest, signal };
    const target = await this.#options.resolver.resolve(resumption);
    if (target && mayServe(route, target)) {
      run.service = target.service;
      run.softwareVersion = target.softwareVersion;
      return true;
    }
    if (signal.aborted) {
      this.#reporter.callerLeft(run);
      return false;
    }
    const reason = target
      ? "the route no longer uses the service that began the stream"
      : "the software version that began the stream is not known";
    const retryMilliseconds = NO_ENGINE_RETRY_MILLISECONDS;
    this.#refuse(run, { kind: "refused", reason, retryMilliseconds });
    return false;
  }

  /** Reserves an engine slot; answers the caller if there is none. */
  async #reserveSlot(run: IRequestRun): Promise<IPlacedRequest | undefined> {
    const { clock, parts, paths } = this.#options;
    const { request, softwareVersion } = run;
    const quarantined = parts.findQuarantined(partsOf(request));
    if (quarantined) {
      this.#endUnplaced(run, {
        kind: "refused",
        reason: isContentId(quarantined.part)
          ? `engines crash on this request, ${quarantined.part}`
          : `engines crash on prompt part ${quarantined.part}`,
        retryMilliseconds: clock.remaining(quarantined.expiresAt),
      });
      return undefined;
    }
    const placement = await this.#slots.reserve(run);
    if (run.isEnded) {
      if (placement.kind === "engine") this.#slots.release(run, placement);
      return undefined;
    }
    if (placement.kind === "engine") {
      this.#countAdmitted(run);
      // Without a path, further attempts would only delay the refusal.
      if (run.sends === 0 || paths.hasPath) return placement;
      this.#slots.release(run, placement);
      this.#endUnplaced(run, {
        kind: "refused",
        reason: "no engine can be reached from here or through an instance",
        retryMilliseconds: NO_ENGINE_RETRY_MILLISECONDS,
      });
      return undefined;
    }
    if (placement.kind === "refused") {
      const { missing, retryMilliseconds } = placement;
      const kind = missing === "caller-limit" ? "limited" : "refused";
      const reason = refusalReason(missing);
      this.#endUnplaced(run, { kind, reason, retryMilliseconds });
      return undefined;
    }
    this.#endUnplaced(run, {
      kind: "refused",
      reason: softwareVersion === undefined
        ? "no engine is known that may take the request"
        : "no engine of the stream's software version may take the request",
      retryMilliseconds: NO_ENGINE_RETRY_MILLISECONDS,
    });
    return undefined;
  }

  /** Ends a request that goes to no further engine. */
  #endUnplaced(run: IRequestRun, end: IRefusal): void {
    const { reason } = end;
    if (run.possibleRuns > 0) {
      this.#reporter.fail(run, { kind: "failed", reason });
    } else {
      this.#refuse(run, end);
    }
  }

  #refuse(run: IRequestRun, refusal: IRefusal): void {
    this.#returnAdmission(run);
    this.#reporter.refuse(run, refusal);
  }

  #countAdmitted(run: IRequestRun): void {
    const { caller } = run.request;
    if (caller === undefined) return;
    run.isAdmitted = true;
    if (!run.isCounted) this.#options.callers?.activity.begin(caller);
    run.isCounted = true;
  }

  /** Returns what an unserved request has taken of its caller's limit. */
  #returnAdmission(run: IRequestRun): void {
    const { caller } = run.request;
    if (!run.isAdmitted || caller === undefined) return;
    run.isAdmitted = false;
    this.#options.callers?.activity.recordUnserved(caller);
  }

  async #send(
    run: IRequestRun,
    placement: IPlacedRequest,
  ): Promise<AttemptOutcome> {
    const { table, health, clock, attempt, parts } = this.#options;
    const { request, sink, progress, isIdempotent } = run;
    const { engine } = placement;
    run.sends += 1;
    run.excluded.add(engine.id);
    this.#reporter.placed(run, placement);
    const startedAt = clock.monotonic();
    let outcome: AttemptOutcome;
    try {
      outcome = await attempt.run(engine, request, {
        sink,
        progress,
        // Open connections may have gone silent together.
        freshConnection: !isIdempotent || run.sends > 1,
        limits: this.#limits(run, placement),
        onFirstEvent: () => this.#recordOrigin(run, engine),
      });
    } finally {
      table.endRequest(engine.id, request.tokens);
    }
    await match(outcome)
      .with({ kind: "answered" }, ({ status }) => {
        table.recordDuration(engine.id, clock.monotonic() - startedAt);
        health.recordSuccess(engine.id);
        parts.recordCompletion(partsOf(request));
        this.#reporter.answered(run, engine.id, status);
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

  #limits(
    run: IRequestRun,
    { engine, waitMilliseconds }: IPlacedRequest,
  ): IAttemptLimits {
    const { clock } = this.#options;
    const { route } = run.request;
    return {
      mayFailOver: run.isIdempotent && run.possibleRuns + 1 < route.attempts,
      firstEventDeadline: earlierDeadline(
        clock.deadlineIn(waitMilliseconds + FIRST_EVENT_TIMEOUT_MILLISECONDS),
        run.deadline,
      ),
      silenceMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
      alternative: this.#alternative(run, engine.id),
      deadline: run.deadline,
    };
  }

  /** Finds another place for a request that an engine leaves waiting. */
  #alternative(run: IRequestRun, engine: string): IAlternative {
    const { clock, table } = this.#options;
    const startedAt = clock.monotonic();
    let isDelayRecorded = false;
    return {
      reserve: async (hasHead) => {
        const needsFreeSlot = hasHead && !table.isSuspect(engine);
        const options = { needsFreeSlot };
        if (await this.#slots.reserveAlternative(run, options)) return true;
        if (!hasHead && !isDelayRecorded) {
          isDelayRecorded = true;
          await this.#failures.recordDelay(run, engine, { startedAt });
        }
        return false;
      },
      release: () => this.#slots.release(run),
    };
  }

  #mayRetry(
    run: IRequestRun,
    outcome: FailedAttempt,
  ): boolean {
    if (!this.#slots.maySendAgain(run)) return false;
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
      return this.#reporter.answered(run, "", answer.status);
    }
    if (run.sink.signal.aborted) return this.#reporter.callerLeft(run);
    if (run.possibleRuns === 0) {
      this.#returnAdmission(run);
      const retryMilliseconds = NO_ENGINE_RETRY_MILLISECONDS;
      return this.#reporter.fail(run, {
        kind: "refused",
        reason,
        retryMilliseconds,
      });
    }
    const isLate = this.#options.clock.isPast(run.deadline);
    this.#reporter.fail(run, { kind: isLate ? "timeout" : "failed", reason });
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
