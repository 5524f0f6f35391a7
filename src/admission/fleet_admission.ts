import { err, type Result } from "neverthrow";
import type { Failure, IClock, IDisposable } from "../common/mod.ts";
import type { CallerRecord } from "../configuration/mod.ts";
import { CallerLimits } from "./caller_limits.ts";
import type { IServiceUse, ServiceGate } from "./service_gate.ts";
import type { IAdmission, IAdmissionRequest, ILimitOwners } from "./types.ts";

/** Interval at which loans in use are checked for renewal. */
const RENEWAL_INTERVAL_MILLISECONDS = 500;

/** Interval at which the limits of idle callers are removed. */
const IDLE_CALLER_SWEEP_INTERVAL_MILLISECONDS = 60_000;

/** Dependencies of a `FleetAdmission`. */
export interface IFleetAdmissionOptions {
  readonly clock: IClock;
  readonly owners: ILimitOwners;
  readonly gate: ServiceGate;
}

/** Requests in progress by caller. */
type ServiceCounts = Map<string, number>;

/**
 * Admits live requests within the limits of their callers, if the service can
 * answer them in time.
 */
export class FleetAdmission implements IAdmission, IDisposable {
  #options: IFleetAdmissionOptions;
  #callers = new Map<string, CallerLimits>();
  #services = new Map<string, ServiceCounts>();
  #stop = new AbortController();

  constructor(options: IFleetAdmissionOptions) {
    this.#options = options;
  }

  async admit(
    request: IAdmissionRequest,
  ): Promise<Result<IDisposable, Failure>> {
    const service = request.grant.service.name;
    const use = this.#usageOf(service, request.caller.name);
    const checked = this.#options.gate.check(request, use);
    if (checked.isErr()) return err(checked.error);
    const ticket = await this.admitCaller(request.caller);
    return ticket.map((held) =>
      this.#countRequest(service, request.caller, held)
    );
  }

  async admitCaller(
    caller: CallerRecord,
  ): Promise<Result<IDisposable, Failure>> {
    return await this.#limitsOf(caller).admit(caller);
  }

  /** Starts the tasks that renew loans and remove idle callers. */
  start(): void {
    void this.#runEvery(
      RENEWAL_INTERVAL_MILLISECONDS,
      () => this.#renewLoans(),
    );
    void this.#runEvery(
      IDLE_CALLER_SWEEP_INTERVAL_MILLISECONDS,
      () => this.#removeIdleCallers(),
    );
  }

  dispose(): void {
    this.#stop.abort();
  }

  async #runEvery(interval: number, step: () => Promise<void>): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.deadlineIn(interval), signal);
      await step();
    }
  }

  async #renewLoans(): Promise<void> {
    const limits = [...this.#callers.values()];
    await Promise.all(limits.map((caller) => caller.renew()));
  }

  #removeIdleCallers(): Promise<void> {
    for (const [name, limits] of this.#callers) {
      if (limits.isIdle) this.#callers.delete(name);
    }
    return Promise.resolve();
  }

  #limitsOf(caller: CallerRecord): CallerLimits {
    const known = this.#callers.get(caller.name);
    if (known) return known;
    const { owners, clock } = this.#options;
    const limits = new CallerLimits(caller, owners, clock);
    this.#callers.set(caller.name, limits);
    return limits;
  }

  #usageOf(service: string, caller: string): IServiceUse {
    const counts = this.#services.get(service);
    const byCaller = counts?.get(caller) ?? 0;
    const present = counts?.size ?? 0;
    let total = 0;
    for (const count of counts?.values() ?? []) total += count;
    const callers = byCaller > 0 ? present : present + 1;
    return { byCaller, total, callers };
  }

  #countRequest(
    service: string,
    caller: CallerRecord,
    ticket: IDisposable,
  ): IDisposable {
    const counts = this.#services.get(service) ?? new Map<string, number>();
    this.#services.set(service, counts);
    add(counts, caller.name, 1);
    let held = true;
    return {
      dispose: () => {
        if (held) add(counts, caller.name, -1);
        held = false;
        ticket.dispose();
      },
    };
  }
}

function add(counts: ServiceCounts, caller: string, difference: number): void {
  const count = (counts.get(caller) ?? 0) + difference;
  if (count === 0) counts.delete(caller);
  else counts.set(caller, count);
}
