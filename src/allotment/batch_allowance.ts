import {
  DisposableStore,
  Emitter,
  type IClock,
  type IDisposable,
  type IEvent,
} from "../common/mod.ts";
import type { Engine, IConfigurationSource } from "../configuration/mod.ts";
import type { ITargetAvailability } from "../membership/mod.ts";
import type {
  IBatchAllowance,
  IBatchLimitPolicy,
  IEngineLoadView,
  IEngineOwnership,
  ITokenGaps,
} from "./types.ts";

/** Interval at which all limits are computed, even without a change. */
const REVIEW_INTERVAL_MILLISECONDS = 100;

/** Dependencies of a `BatchAllowance`. */
export interface IBatchAllowanceOptions {
  readonly clock: IClock;
  readonly configuration: IConfigurationSource;
  readonly availability: ITargetAvailability;
  readonly load: IEngineLoadView & { readonly onChange: IEvent<string> };
  readonly tokenGaps: ITokenGaps;
}

/** Computes the batch limits of the engines that this instance owns. */
export class BatchAllowance implements IBatchAllowance, IDisposable {
  #ownership: IEngineOwnership;
  #policy: IBatchLimitPolicy;
  #options: IBatchAllowanceOptions;
  #limits = new Map<string, number>();
  #change = new Emitter<string>();
  readonly onChange = this.#change.event;
  #store = new DisposableStore();

  constructor(
    ownership: IEngineOwnership,
    policy: IBatchLimitPolicy,
    options: IBatchAllowanceOptions,
  ) {
    this.#ownership = ownership;
    this.#policy = policy;
    this.#options = options;
    const { load, availability } = options;
    this.#store.add(load.onChange((id) => this.#review(id)));
    this.#store.add(availability.onChange((id) => this.#review(id)));
    this.#store.add(ownership.onChange(() => this.#reviewAll()));
    const timer = setInterval(
      () => this.#reviewAll(),
      REVIEW_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  get ownedEngines(): readonly string[] {
    return [...this.#ownership.owned];
  }

  limitOf(engineId: string): number {
    if (!this.#ownership.owned.has(engineId)) return 0;
    return this.#limits.get(engineId) ?? 0;
  }

  dispose(): void {
    this.#store.dispose();
    this.#change.dispose();
  }

  #reviewAll(): void {
    const ids = new Set([...this.#limits.keys(), ...this.#ownership.owned]);
    ids.forEach((id) => this.#review(id));
  }

  #review(engineId: string): void {
    const before = this.#limits.get(engineId);
    const limit = this.#computeLimit(engineId);
    if (limit === undefined) this.#limits.delete(engineId);
    else this.#limits.set(engineId, limit);
    if (before !== limit) this.#change.fire(engineId);
  }

  /** Returns undefined when this instance does not own the engine. */
  #computeLimit(engineId: string): number | undefined {
    const { configuration, availability, clock, tokenGaps } = this.#options;
    if (!this.#ownership.owned.has(engineId)) return undefined;
    const document = configuration.current?.document;
    const engine = document?.engines.find(({ id }) => id === engineId);
    if (!engine || availability.stateOf(engineId) === "leaving") return 0;
    const service = document?.services.find(({ name }) =>
      name === engine.service
    );
    return this.#policy.limitOf({
      engine,
      live: this.#live(engine),
      peers: (configuration.current?.enginesOf(engine.service) ?? [])
        .map((peer) => ({ engine: peer, live: this.#live(peer) })),
      gapSince: (since) => tokenGaps.gapSince(engineId, since),
      objectiveGap: service?.objective.betweenTokensMilliseconds ?? Infinity,
      now: clock.monotonic(),
    });
  }

  #live(engine: Engine): number {
    const { ownLive, otherLive } = this.#options.load.loadOf(engine.id);
    return ownLive + otherLive;
  }
}
