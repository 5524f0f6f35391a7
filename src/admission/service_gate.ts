import { err, ok, type Result } from "neverthrow";
import type { IEngineLoadView } from "../allotment/mod.ts";
import { type Failure, type IClock, notRun } from "../common/mod.ts";
import type { Engine, IConfigurationSource } from "../configuration/mod.ts";
import type { ITargetAvailability } from "../membership/mod.ts";
import type { ITargetHealth } from "../routing/mod.ts";
import type { IAdmissionRequest, ILatencyEstimates } from "./types.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of a `ServiceGate`. */
export interface IServiceGateOptions {
  readonly clock: IClock;
  readonly configuration: IConfigurationSource;
  readonly load: IEngineLoadView;
  readonly health: ITargetHealth;
  readonly availability: ITargetAvailability;
  readonly estimates: ILatencyEstimates;
}

/** Requests in progress on this instance for one service. */
export interface IServiceUse {
  /** Requests of the caller whose request is checked. */
  readonly byCaller: number;
  readonly total: number;
  /** Callers with at least one request, including the one that is checked. */
  readonly callers: number;
}

/**
 * Refuses requests that a service cannot answer in time, and requests above the
 * caller's fair share while the service is full.
 */
export class ServiceGate {
  #options: IServiceGateOptions;

  constructor(options: IServiceGateOptions) {
    this.#options = options;
  }

  check(
    request: IAdmissionRequest,
    use: IServiceUse,
  ): Result<void, Failure> {
    const service = request.grant.service.name;
    const engines = this.#availableEngines(service);
    const capacity = sum(engines.map(({ maximumStreams }) => maximumStreams));
    const streams = sum(engines.map(({ id }) => this.#liveStreams(id)));
    if (capacity === 0) return ok(undefined);
    const late = this.#expectedLateness(request, { capacity, streams });
    if (late > 0) {
      return err(refusal(`${service} cannot answer before the deadline`, late));
    }
    // While no slot is free, callers above their fair share are refused, so
    // that other callers get the slots that become free.
    const isAboveFairShare = use.byCaller > use.total / use.callers;
    if (streams < capacity || use.callers < 2 || !isAboveFairShare) {
      return ok(undefined);
    }
    return err(
      refusal(`${service} is full and the caller is above its fair share`, 0),
    );
  }

  #availableEngines(service: string): Engine[] {
    const { configuration, health, availability } = this.#options;
    const engines = configuration.current?.enginesOf(service) ?? [];
    return engines.filter(({ id }) =>
      availability.stateOf(id) !== "leaving" && health.stateOf(id) !== "ejected"
    );
  }

  #liveStreams(engineId: string): number {
    const { ownLive, otherLive } = this.#options.load.loadOf(engineId);
    return ownLive + otherLive;
  }

  /** Milliseconds by which the answer is expected to miss the deadline. */
  #expectedLateness(
    request: IAdmissionRequest,
    state: { capacity: number; streams: number },
  ): number {
    const { estimates, clock } = this.#options;
    const estimate = estimates.estimateOf(request.grant.service.name);
    if (!estimate) return 0;
    const { firstTokenMilliseconds, tokenMilliseconds } = estimate;
    const tokens = Math.min(
      estimate.tokensPerAnswer,
      request.maximumTokens ?? Infinity,
    );
    const averageDuration = firstTokenMilliseconds +
      estimate.tokensPerAnswer * tokenMilliseconds;
    const queued = Math.max(0, state.streams - state.capacity + 1);
    const wait = queued * averageDuration / state.capacity;
    const expected = Math.max(firstTokenMilliseconds, wait) +
      tokens * tokenMilliseconds;
    return expected - clock.remaining(request.deadline);
  }
}

function refusal(reason: string, lateMilliseconds: number): Failure {
  const seconds = Math.ceil(lateMilliseconds / MILLISECONDS_PER_SECOND);
  return notRun("overloaded", reason, {
    retryAfterSeconds: Math.max(1, seconds),
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
