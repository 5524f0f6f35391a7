import type { IClock } from "../common/mod.ts";
import type {
  EngineTable,
  IPlacedRequest,
  PlacementRequest,
  Placer,
  PlacerResult,
} from "../placement/mod.ts";
import type { IPartObserver } from "../quarantine/mod.ts";
import type { IEnginePaths } from "../relaying/mod.ts";
import { type IRequestRun, partsOf } from "./request_run.ts";

/** Maximum attempts of one request, including those that an engine refused. */
const MAXIMUM_SENDS = 5;

/** Minimum remaining time for another attempt, in milliseconds. */
const MINIMUM_REMAINING_MILLISECONDS = 100;

/** Dependencies of a `SlotReserver`. */
export interface ISlotReserverOptions {
  readonly table: EngineTable;
  readonly placer: Placer;
  readonly clock: IClock;
  readonly parts: IPartObserver;
  readonly paths: IEnginePaths;
  readonly failureDomain: string;
}

/** Reserves slots of engines for the attempts of requests. */
export class SlotReserver {
  #options: ISlotReserverOptions;

  constructor(options: ISlotReserverOptions) {
    this.#options = options;
  }

  /** Whether time and number allow a request another attempt. */
  maySendAgain(run: IRequestRun): boolean {
    const remaining = this.#options.clock.remaining(run.deadline);
    return remaining >= MINIMUM_REMAINING_MILLISECONDS &&
      run.sends < MAXIMUM_SENDS && !run.sink.signal.aborted;
  }

  /** Resolves with the slot that was reserved before, or asks for one. */
  async reserve(run: IRequestRun): Promise<PlacerResult> {
    const { alternative } = run;
    if (alternative && this.#options.paths.hasPath) {
      run.alternative = undefined;
      return alternative;
    }
    // The leader names instances that forward only once links are known lost.
    this.release(run);
    const hasBegun = run.possibleRuns > 0 || run.softwareVersion !== undefined;
    return await this.#options.placer.place(this.#describe(run, { hasBegun }));
  }

  /**
   * Reserves a slot at another engine while the answer of the present one
   * stays open. Resolves with whether the request may move there.
   *
   * @param options.needsFreeSlot whether it must not wait there, as the present
   * engine has done a part of the work and is probably sound
   */
  async reserveAlternative(
    run: IRequestRun,
    options: { needsFreeSlot: boolean },
  ): Promise<boolean> {
    const { parts, paths, placer, table } = this.#options;
    const mayMove = this.maySendAgain(run) && paths.hasPath &&
      parts.findQuarantined(partsOf(run.request)) === undefined;
    if (!mayMove) return false;
    const isAlternative = options.needsFreeSlot || undefined;
    const request = this.#describe(run, { hasBegun: true, isAlternative });
    // Under overload, all requests at silent engines would ask the leader.
    if (!placer.mayPlace(request)) return false;
    const placed = await placer.place(request);
    if (placed.kind !== "engine") return false;
    // A leader of an earlier version of figroad takes it for a retry.
    const isBetter = !isAlternative ||
      placed.waitMilliseconds === 0 && !table.isSuspect(placed.engine.id);
    if (!isBetter || run.isEnded || run.alternative) {
      this.release(run, placed);
      return false;
    }
    run.alternative = placed;
    return true;
  }

  /** Returns a slot that is reserved and not used. */
  release(
    run: IRequestRun,
    placed: IPlacedRequest | undefined = run.alternative,
  ): void {
    if (!placed) return;
    this.#options.table.endRequest(placed.engine.id, run.request.tokens);
    if (run.alternative === placed) run.alternative = undefined;
  }

  #describe(
    run: IRequestRun,
    options: { hasBegun: boolean; isAlternative?: boolean | undefined },
  ): PlacementRequest {
    const { clock, failureDomain } = this.#options;
    const { request, service, softwareVersion } = run;
    return {
      request: request.id,
      service,
      failureDomain,
      objectiveMilliseconds: request.route.objectiveMilliseconds,
      remainingMilliseconds: clock.remaining(run.deadline),
      isReturned: request.isReturned || options.hasBegun,
      ...options,
      excluded: [...run.excluded],
      softwareVersion,
      tokens: request.tokens,
      caller: request.caller,
      isAdmitted: run.isAdmitted || undefined,
    };
  }
}
