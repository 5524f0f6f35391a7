import type {
  CallerActivity,
  CallerUse,
  IEngineRateLimiter,
} from "../admission/mod.ts";
import type { CallerLimit } from "../service_routes/mod.ts";
import type { IEngineChooser } from "./engine_chooser.ts";
import type { EngineTable } from "./engine_table.ts";
import type { PlacementDecision, PlacementRequest } from "./messages.ts";
import { place, type Placement } from "./placement.ts";
import type { ListedEngine } from "./types.ts";

/** Asks the leader to place requests. */
export interface IPlacementSource {
  /** Resolves with undefined when the leader does not answer in time. */
  requestPlacement(
    request: PlacementRequest,
  ): Promise<PlacementDecision | undefined>;
}

/** A placed request, counted in the engine table until `endRequest`. */
export interface IPlacedRequest {
  readonly kind: "engine";
  readonly engine: ListedEngine;
  readonly live: number;
  readonly bulk: number;
  /** Expected wait for the slot, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Whether the leader or this instance itself chose the engine. */
  readonly chosenBy: "leader" | "instance";
}

/** Outcome of placing a request. */
export type PlacerResult =
  | IPlacedRequest
  | Exclude<PlacementDecision, { kind: "engine" }>;

/** Time after which a caller over its limit may retry without a leader. */
const LIMIT_RETRY_MILLISECONDS = 1_000;

/** Limits of callers with keys, for requests placed without the leader. */
export interface ICallerLimits {
  readonly use: CallerUse;
  readonly activity: CallerActivity;
  /** The limit in force; undefined if the caller has none. */
  readonly limitOf: (caller: string) => CallerLimit | undefined;
  /** Version of the routes that contain the limits. */
  readonly version: () => number;
}

/**
 * Chooses engines for live requests.
 *
 * The leader decides, since it knows the load of the whole fleet exactly.
 * While it does not answer, this instance decides by the load that it knows
 * itself, so that requests are served during a leader change as well.
 */
export class Placer {
  #source: IPlacementSource;
  #table: EngineTable;
  #random: () => number;
  #limiter: IEngineRateLimiter;
  #callers: ICallerLimits | undefined;
  #chooser: IEngineChooser | undefined;

  /**
   * @param options.limiter admits the requests that this instance places.
   * @param options.random source of random numbers from 0 up to, not including,
   * 1.
   */
  constructor(
    source: IPlacementSource,
    table: EngineTable,
    options: {
      random: () => number;
      limiter: IEngineRateLimiter;
      callers?: ICallerLimits;
      /** By default, the least loaded engine is chosen. */
      chooser?: IEngineChooser | undefined;
    },
  ) {
    this.#source = source;
    this.#table = table;
    this.#random = options.random;
    this.#limiter = options.limiter;
    this.#callers = options.callers;
    this.#chooser = options.chooser;
  }

  async place(request: PlacementRequest): Promise<PlacerResult> {
    const refusal = this.#findKnownRefusal(request);
    if (refusal) return refusal;
    // The leader may not know yet which engines leave.
    const excluded = [...request.excluded, ...this.#table.announcedLeaving()];
    const grant = await this.#source.requestPlacement({ ...request, excluded });
    if (!grant) return this.#placeLocally(request);
    if (grant.kind !== "engine") {
      this.#recordRefusal(request, grant);
      return grant;
    }
    const { caller } = request;
    const isNewlyAdmitted = caller !== undefined && !request.isAdmitted;
    if (isNewlyAdmitted && this.#callers?.limitOf(caller)) {
      this.#callers.use.record(caller, grant.callerLevel);
    }
    const engine = this.#table.engine(grant.engine);
    const { softwareVersion } = request;
    // A leader of an earlier version of figroad ignores the software version.
    const isSuitable = softwareVersion === undefined ||
      engine?.softwareVersion === softwareVersion;
    if (engine && isSuitable && !engine.isLeaving) {
      return { ...grant, engine, chosenBy: "leader" };
    }
    this.#table.endRequest(grant.engine, request.tokens);
    const placed = this.#placeLocally({ ...request, isAdmitted: true });
    if (isNewlyAdmitted && placed.kind !== "engine") {
      this.#callers?.activity.recordUnserved(caller);
    }
    return placed;
  }

  /**
   * Whether there is a place for a request as far as this instance knows. Only
   * `place` reserves it; the leader knows the load of the fleet better.
   */
  mayPlace(request: PlacementRequest): boolean {
    return this.#decide(request, this.#random()).kind === "engine";
  }

  #decide(request: PlacementRequest, random: number): Placement {
    const limiter = this.#limiter;
    const chooser = this.#chooser;
    const excluded = new Set(request.excluded);
    return place(
      { ...request, excluded, random, limiter, chooser },
      this.#table.views(request.service),
    );
  }

  #placeLocally(request: PlacementRequest): PlacerResult {
    const random = this.#random();
    const placement = this.#decide(request, random);
    if (placement.kind !== "engine") return placement;
    if (!this.#admitLocally(request)) {
      const retryMilliseconds = LIMIT_RETRY_MILLISECONDS * (1 + random);
      return { kind: "refused", retryMilliseconds, missing: "caller-limit" };
    }
    const { engine, live, bulk } = placement.view;
    this.#table.beginRequest(engine.id, request.tokens);
    this.#limiter.take(engine.id);
    const { waitMilliseconds } = placement;
    return {
      kind: "engine",
      ...{ engine, live, bulk, waitMilliseconds },
      chosenBy: "instance",
    };
  }

  /** Refuses a request whose caller's limit the leader just called used up. */
  #findKnownRefusal(
    { caller, isAdmitted }: PlacementRequest,
  ): PlacerResult | undefined {
    if (caller === undefined || isAdmitted) return undefined;
    const pause = this.#callers?.use.refusalMilliseconds(caller) ?? 0;
    if (pause === 0) return undefined;
    const retryMilliseconds = pause + LIMIT_RETRY_MILLISECONDS * this.#random();
    return { kind: "refused", retryMilliseconds, missing: "caller-limit" };
  }

  #recordRefusal(
    { caller }: PlacementRequest,
    grant: Exclude<PlacementDecision, { kind: "engine" }>,
  ): void {
    if (caller === undefined || grant.kind !== "refused") return;
    if (grant.missing !== "caller-limit") return;
    this.#callers?.use.recordRefusal(caller, grant.retryMilliseconds);
  }

  /** Counts a request against its caller's limit; false if it is used up. */
  #admitLocally({ caller, isAdmitted }: PlacementRequest): boolean {
    const limit = caller === undefined
      ? undefined
      : this.#callers?.limitOf(caller);
    if (caller === undefined || !limit || isAdmitted) return true;
    if (!this.#callers?.use.tryAdmit(caller, limit)) return false;
    this.#callers.activity.recordAdmitted(caller);
    return true;
  }
}
