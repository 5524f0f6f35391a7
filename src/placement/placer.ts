import type { IEngineRateLimiter } from "../admission/mod.ts";
import type { EngineTable } from "./engine_table.ts";
import type { PlacementDecision, PlacementRequest } from "./messages.ts";
import { place } from "./placement.ts";
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

  /**
   * @param options.limiter admits the requests that this instance places.
   * @param options.random source of random numbers from 0 up to, not including,
   * 1.
   */
  constructor(
    source: IPlacementSource,
    table: EngineTable,
    options: { random: () => number; limiter: IEngineRateLimiter },
  ) {
    this.#source = source;
    this.#table = table;
    this.#random = options.random;
    this.#limiter = options.limiter;
  }

  async place(request: PlacementRequest): Promise<PlacerResult> {
    // The leader may not know yet which engines leave.
    const excluded = [...request.excluded, ...this.#table.announcedLeaving()];
    const grant = await this.#source.requestPlacement({ ...request, excluded });
    if (!grant) return this.#placeLocally(request);
    if (grant.kind !== "engine") return grant;
    const engine = this.#table.engine(grant.engine);
    const { softwareVersion } = request;
    // A leader of an earlier version of figroad ignores the software version.
    const isSuitable = softwareVersion === undefined ||
      engine?.softwareVersion === softwareVersion;
    if (engine && isSuitable && !engine.isLeaving) {
      return { ...grant, engine, chosenBy: "leader" };
    }
    this.#table.endRequest(grant.engine);
    return this.#placeLocally(request);
  }

  #placeLocally(request: PlacementRequest): PlacerResult {
    const views = this.#table.views(request.service);
    const excluded = new Set(request.excluded);
    const random = this.#random();
    const limiter = this.#limiter;
    const placement = place({ ...request, excluded, random, limiter }, views);
    if (placement.kind !== "engine") return placement;
    const { engine, live, bulk } = placement.view;
    this.#table.beginRequest(engine.id);
    limiter.take(engine.id);
    const { waitMilliseconds } = placement;
    return {
      kind: "engine",
      ...{ engine, live, bulk, waitMilliseconds },
      chosenBy: "instance",
    };
  }
}
