import { match } from "ts-pattern";
import { type Failure, type IDisposable } from "../common/mod.ts";
import type { IEngineReservation } from "../routing/mod.ts";
import { type GenerationChunk, GenerationError } from "../targets/mod.ts";
import { AttemptTimeouts, type IAttemptLimits } from "./attempt_timeouts.ts";
import { promptText } from "./prompt_text.ts";
import { RequestScope } from "./request_scope.ts";
import { StreamTiming } from "./stream_timing.ts";
import type { IDispatcherOptions, IDispatchRequest } from "./types.ts";

/** Maximum attempts of one generation. */
const MAXIMUM_ATTEMPTS = 4;

/**
 * Maximum delay before failed engines are tried again, for each attempt made so
 * far.
 */
const MAXIMUM_BACKOFF_PER_ATTEMPT_MILLISECONDS = 100;

/** State of one generation across its attempts. */
export class GenerationRun implements IDisposable {
  #request: IDispatchRequest;
  #options: IDispatcherOptions;
  #scope: RequestScope;
  #timing: StreamTiming;
  #timeouts: AttemptTimeouts;
  #prompt: string;
  #textParts: string[];
  #tokens: number;
  #excludedEngines = new Set<string>();
  #attempts = 0;
  #failure: Failure | undefined;
  #reservation: IEngineReservation | undefined;
  #attemptHasToken = false;
  #limits: IAttemptLimits | undefined;

  constructor(request: IDispatchRequest, options: IDispatcherOptions) {
    this.#request = request;
    this.#options = options;
    this.#scope = new RequestScope(request, options.clock);
    this.#timing = new StreamTiming(options.clock);
    this.#timeouts = new AttemptTimeouts(options.estimates, options.clock);
    this.#prompt = promptText(request.generation);
    this.#textParts = request.resume ? [request.resume.text] : [];
    this.#tokens = request.resume?.tokens ?? 0;
    this.#budget.deposit();
  }

  /**
   * Opens the next attempt.
   *
   * @throws GenerationError when no engine may be tried.
   */
  async open(): Promise<AsyncGenerator<GenerationChunk, void>> {
    const reservation = await this.#reserve();
    this.#reservation = reservation;
    this.#attempts += 1;
    this.#attemptHasToken = false;
    const { engine } = reservation;
    this.#request.onAttempt?.(engine);
    this.#trace(this.#tokens > 0 ? "resumed" : "attempt", engine.id);
    this.#limits = this.#timeouts.limitsFor(this.#request, {
      isLast: !this.#request.idempotent || this.#budget.isSpent ||
        this.#attempts >= MAXIMUM_ATTEMPTS,
    });
    return this.#options.engines.generate(engine, this.#request.generation, {
      firstTokenDeadline: this.#limits.firstTokenDeadline,
      silenceMilliseconds: this.#limits.silenceMilliseconds,
      deadline: this.#request.deadline,
      signal: this.#scope.signal,
      freshConnection: !this.#request.idempotent,
      resume: this.#tokens > 0
        ? { text: this.#textParts.join(""), tokens: this.#tokens }
        : undefined,
    });
  }

  /** Records a chunk that is forwarded to the caller. */
  accept(chunk: GenerationChunk): void {
    if (chunk.kind === "end") {
      this.#observeLatency();
      return;
    }
    if (!this.#attemptHasToken) this.#reservation?.reportFirstToken();
    this.#attemptHasToken = true;
    this.#textParts.push(chunk.text);
    this.#tokens += chunk.tokens;
    this.#timing.recordTokens(chunk.tokens);
  }

  /**
   * Records a failed attempt; returns if another may follow.
   *
   * @throws GenerationError with the combined verdict of all attempts.
   */
  fail(error: unknown): void {
    if (!(error instanceof GenerationError)) throw error;
    const { failure } = error;
    const engine = this.#reservation?.engine.id;
    if (engine !== undefined) this.#excludedEngines.add(engine);
    if (engine !== undefined) this.#trace("failed", engine, failure.message);
    this.#failure = mergeFailures(
      this.#failure,
      this.#withDeadlineCode(failure),
    );
    if (this.#isEngineFault(failure)) this.#reservation?.reportFailure();
    if (!this.#mayRetry(failure)) throw new GenerationError(this.#failure);
    if (this.#budget.withdraw()) return;
    this.#trace("gave-up", engine, "retry budget spent");
    throw new GenerationError(this.#failure);
  }

  /** Releases the reservation of the current attempt. */
  closeAttempt(): void {
    this.#reservation?.dispose();
    this.#reservation = undefined;
  }

  dispose(): void {
    this.closeAttempt();
    this.#scope.dispose();
  }

  get #budget() {
    return this.#options.budgets[this.#request.kind];
  }

  /**
   * Reserves an engine. If every engine has failed, all may be tried again
   * after a backoff.
   */
  async #reserve(): Promise<IEngineReservation> {
    let selected = this.#select();
    if (selected.isErr() && this.#excludedEngines.size > 0) {
      this.#excludedEngines.clear();
      await this.#backOff();
      selected = this.#select();
    }
    if (selected.isOk()) return selected.value;
    throw new GenerationError(this.#failure ?? selected.error);
  }

  #select() {
    return this.#options.selector.select({
      service: this.#request.service,
      kind: this.#request.kind,
      prompt: this.#prompt,
      exclude: this.#excludedEngines,
      mayProbe: this.#request.idempotent,
    });
  }

  async #backOff(): Promise<void> {
    const { clock, random } = this.#options;
    const longest = MAXIMUM_BACKOFF_PER_ATTEMPT_MILLISECONDS * this.#attempts;
    const pause = longest / 2 + random.below(longest) / 2;
    await clock.sleepUntil(clock.deadlineIn(pause), this.#scope.signal);
  }

  get #hasEnded(): boolean {
    return this.#scope.ended !== undefined ||
      this.#options.clock.isPast(this.#request.deadline);
  }

  /**
   * Whether a failure counts against the engine. A caller with a short
   * deadline must not get engines ejected.
   */
  #isEngineFault(failure: Failure): boolean {
    if (this.#hasEnded) return false;
    return match(failure.code)
      .with("unavailable", "target-error", () => true)
      .with("deadline-exceeded", () => this.#limits?.isShortened === false)
      .otherwise(() => false);
  }

  #mayRetry(failure: Failure): boolean {
    if (this.#hasEnded || this.#attempts >= MAXIMUM_ATTEMPTS) return false;
    if (failure.code === "bad-request") return false;
    return this.#request.idempotent || failure.verdict === "not-run";
  }

  /** Reports the deadline as the cause if the request ended because of it. */
  #withDeadlineCode(failure: Failure): Failure {
    if (!this.#hasEnded || this.#scope.ended === "cancelled") return failure;
    return {
      ...failure,
      code: "deadline-exceeded",
      message: "the request's deadline was reached",
    };
  }

  #observeLatency(): void {
    const { latencyEstimate } = this.#timing;
    if (this.#request.kind !== "live" || !latencyEstimate) return;
    this.#options.estimates.observe(this.#request.service, latencyEstimate);
  }

  #trace(step: string, target?: string, reason?: string): void {
    this.#options.trace.record(this.#request.id, step, { target, reason });
  }
}

/** Merges failures; one attempt that may have run decides the verdict. */
export function mergeFailures(
  earlier: Failure | undefined,
  last: Failure,
): Failure {
  if (earlier?.verdict !== "may-have-run") return last;
  return { ...last, verdict: "may-have-run" };
}
