import { err, ok, type Result } from "neverthrow";
import type { IRetryBudget } from "../admission/mod.ts";
import { type Deadline, type Failure, type IClock } from "../common/mod.ts";
import { notRun } from "../common/mod.ts";
import type { PlainService } from "../configuration/mod.ts";
import type { ITraceRecorder } from "../explain/types.ts";
import type { ITargetAvailability } from "../membership/mod.ts";
import type { IRandom, ITargetHealth } from "../routing/mod.ts";
import type {
  IPlainAdapter,
  IPlainRequest,
  IPlainResponse,
} from "../targets/mod.ts";
import { mergeFailures } from "./generation_run.ts";
import type { IPlainCall, IPlainDispatcher } from "./types.ts";

/** Maximum attempts of one call. */
const MAXIMUM_ATTEMPTS = 3;

/**
 * Share of the remaining time within which the response headers must arrive, if
 * another attempt may follow.
 */
const ATTEMPT_SHARE = 1 / 2;

/** Time after which a caller may retry when no target is available. */
const RETRY_AFTER_SECONDS = 2;

type PlainTarget = PlainService["targets"][number];

/** Dependencies of a `PlainDispatcher`. */
export interface IPlainDispatcherOptions {
  readonly targets: IPlainAdapter;
  readonly clock: IClock;
  readonly random: IRandom;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  readonly health: ITargetHealth;
  readonly availability: ITargetAvailability;
  readonly budget: IRetryBudget;
  readonly trace: ITraceRecorder;
}

/** Calls a plain service at one target after another until one answers. */
export class PlainDispatcher implements IPlainDispatcher {
  #options: IPlainDispatcherOptions;
  #openCalls = new Map<string, number>();

  constructor(options: IPlainDispatcherOptions) {
    this.#options = options;
  }

  async call(
    call: IPlainCall,
    request: IPlainRequest,
  ): Promise<Result<IPlainResponse, Failure>> {
    const { budget, trace } = this.#options;
    budget.deposit();
    const exclude = new Set<string>();
    let failure: Failure | undefined;
    for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
      const target = this.#chooseTarget(call.service, exclude);
      if (!target) break;
      trace.record(call.id, "attempt", { target: target.id });
      const isLast = attempt === MAXIMUM_ATTEMPTS;
      const answer = await this.#attempt(call, { target, request, isLast });
      if (answer.isOk()) return answer;
      const reason = answer.error.message;
      trace.record(call.id, "failed", { target: target.id, reason });
      failure = mergeFailures(failure, answer.error);
      exclude.add(target.id);
      if (!this.#mayRetry(call, answer.error)) break;
      if (!budget.withdraw()) break;
    }
    return err(failure ?? noTargetFailure(call.service));
  }

  async #attempt(
    call: IPlainCall,
    options: { target: PlainTarget; request: IPlainRequest; isLast: boolean },
  ): Promise<Result<IPlainResponse, Failure>> {
    const { target, request, isLast } = options;
    const { targets, health } = this.#options;
    const probe = health.beginProbe(target.id);
    this.#addOpenCalls(target.id, 1);
    const answer = await targets.call(target, request, {
      headDeadline: this.#headDeadline(call, isLast),
      deadline: call.deadline,
      signal: call.signal,
      freshConnection: !call.service.idempotent,
    });
    probe.dispose();
    if (answer.isOk()) {
      health.reportSuccess(target.id);
      const body = this.#trackBody(target.id, answer.value.body);
      return ok({ ...answer.value, body });
    }
    this.#addOpenCalls(target.id, -1);
    if (this.#isTargetFault(call, answer.error)) {
      health.reportFailure(target.id);
    }
    return answer;
  }

  #headDeadline(call: IPlainCall, isLast: boolean): Deadline {
    const { clock } = this.#options;
    if (isLast || !call.service.idempotent) return call.deadline;
    return clock.deadlineIn(clock.remaining(call.deadline) * ATTEMPT_SHARE);
  }

  /**
   * Chooses the less loaded of two random targets. A target in another failure
   * domain counts as if it had one more open call.
   */
  #chooseTarget(
    service: PlainService,
    exclude: ReadonlySet<string>,
  ): PlainTarget | undefined {
    const { availability, health, failureDomain, random } = this.#options;
    const usable = service.targets.filter(({ id }) =>
      !exclude.has(id) && availability.stateOf(id) !== "leaving"
    );
    const healthy = usable.filter(({ id }) => health.stateOf(id) !== "ejected");
    const candidates = healthy.length > 0 ? healthy : usable;
    const cost = (target: PlainTarget) =>
      (this.#openCalls.get(target.id) ?? 0) +
      (target.failureDomain === failureDomain ? 0 : 1);
    if (candidates.length === 0) return undefined;
    const first = candidates[random.below(candidates.length)];
    const second = candidates[random.below(candidates.length)];
    if (!first || !second) return first;
    return cost(second) < cost(first) ? second : first;
  }

  #mayRetry(call: IPlainCall, failure: Failure): boolean {
    if (call.signal.aborted) return false;
    if (this.#options.clock.isPast(call.deadline)) return false;
    return call.service.idempotent || failure.verdict === "not-run";
  }

  #isTargetFault(call: IPlainCall, failure: Failure): boolean {
    return !call.signal.aborted && failure.code !== "cancelled";
  }

  #addOpenCalls(targetId: string, difference: number): void {
    const count = (this.#openCalls.get(targetId) ?? 0) + difference;
    if (count <= 0) this.#openCalls.delete(targetId);
    else this.#openCalls.set(targetId, count);
  }

  async *#trackBody(
    targetId: string,
    body: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array, void> {
    try {
      yield* body;
    } finally {
      this.#addOpenCalls(targetId, -1);
    }
  }
}

function noTargetFailure(service: PlainService): Failure {
  return notRun("unavailable", `no target of ${service.name} is available`, {
    retryAfterSeconds: RETRY_AFTER_SECONDS,
  });
}
