import type { EngineTable } from "./engine_table.ts";
import type { Grant, PlacementRequest } from "./messages.ts";
import { place } from "./placement.ts";
import type { ListedEngine } from "./types.ts";

/** Asks the leader for a place; undefined when it does not answer in time. */
export interface IGrantSource {
  requestGrant(request: PlacementRequest): Promise<Grant | undefined>;
}

/** A place that is taken until the table is told of its end. */
export interface IPlacedRequest {
  readonly kind: "engine";
  readonly engine: ListedEngine;
  readonly live: number;
  readonly bulk: number;
  /** Expected wait for the place, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Who chose: the leader by the fleet's load, or this instance alone. */
  readonly chosenBy: "leader" | "instance";
}

/** Result of a request for a place. */
export type PlacerResult = IPlacedRequest | Exclude<Grant, { kind: "engine" }>;

/**
 * Finds places for live requests.
 *
 * The leader knows the load of the whole fleet exactly. While it does not
 * answer, this instance decides by what it knows, so that requests are served
 * also while the leader changes.
 */
export class Placer {
  #source: IGrantSource;
  #table: EngineTable;
  #random: () => number;

  /** @param options.random source of numbers from 0 up to 1. */
  constructor(
    source: IGrantSource,
    table: EngineTable,
    options: { random: () => number },
  ) {
    this.#source = source;
    this.#table = table;
    this.#random = options.random;
  }

  async place(request: PlacementRequest): Promise<PlacerResult> {
    const grant = await this.#source.requestGrant(request);
    if (!grant) return this.#placeLocally(request);
    if (grant.kind !== "engine") return grant;
    const engine = this.#table.engine(grant.engine);
    if (engine) return { ...grant, engine, chosenBy: "leader" };
    this.#table.endRequest(grant.engine);
    return this.#placeLocally(request);
  }

  #placeLocally(request: PlacementRequest): PlacerResult {
    const views = this.#table.views(request.service);
    const excluded = new Set(request.excluded);
    const random = this.#random();
    const placement = place({ ...request, excluded, random }, views);
    if (placement.kind !== "engine") return placement;
    const { engine, live, bulk } = placement.view;
    this.#table.beginRequest(engine.id);
    const { waitMilliseconds } = placement;
    return {
      kind: "engine",
      ...{ engine, live, bulk, waitMilliseconds },
      chosenBy: "instance",
    };
  }
}
