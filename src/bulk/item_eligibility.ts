import type { IClock } from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import type { Route } from "../service_routes/mod.ts";
import type { EngineVersions } from "./engine_versions.ts";
import type { IEligibility } from "./item_assignment.ts";
import type { IPendingItem } from "./pending_items.ts";

/** What decides which engines an item may use. */
interface IItemGroup {
  readonly route: Route | undefined;
  /** One of the items of the group. */
  readonly member: IPendingItem;
  /** Whether the items wait for an engine that can resume them. */
  readonly waits: boolean;
  /** Decisions by service and software version of an engine. */
  readonly decisions: Map<string, boolean>;
}

/**
 * Decides at which engines waiting items may run, for one plan.
 *
 * Items of a route whose progress is of the same software version may use the
 * same engines, so each decision is made once. With two software versions in
 * service, a plan would otherwise compare all items with all engines.
 */
export class ItemEligibility implements IEligibility<IPendingItem> {
  #versions: EngineVersions;
  #clock: IClock;
  #findRoute: (item: IPendingItem) => Route | undefined;
  #groups = new Map<Route | undefined, Map<string, IItemGroup>>();
  #groupOfItem = new Map<IPendingItem, IItemGroup>();
  #engineGroups = new Map<ListedEngine, string>();
  #routes = new Map<string, Route | undefined>();

  constructor(
    versions: EngineVersions,
    options: {
      clock: IClock;
      findRoute: (item: IPendingItem) => Route | undefined;
    },
  ) {
    this.#versions = versions;
    this.#clock = options.clock;
    this.#findRoute = options.findRoute;
  }

  /** Items of one group may use the same engines. */
  groupOf(item: IPendingItem): object {
    return this.#group(item);
  }

  /**
   * Whether an item may run at an engine. While an engine serves that can
   * resume the item, it waits a while rather than start again elsewhere.
   */
  mayUse(item: IPendingItem, engine: ListedEngine): boolean {
    const group = this.#group(item);
    const key = this.engineGroupOf(engine);
    const known = group.decisions.get(key);
    if (known !== undefined) return known;
    const decision = this.#decide(group, engine);
    group.decisions.set(key, decision);
    return decision;
  }

  /** Engines of one group may be used by the same items. */
  engineGroupOf(engine: ListedEngine): string {
    const known = this.#engineGroups.get(engine);
    if (known !== undefined) return known;
    const key = `${engine.service}\n${engine.softwareVersion}`;
    this.#engineGroups.set(engine, key);
    return key;
  }

  #decide(group: IItemGroup, engine: ListedEngine): boolean {
    const { route, member, waits } = group;
    const isOnRoute =
      route?.shares.some(({ service, weight }) =>
        service === engine.service && weight > 0
      ) ?? false;
    if (!isOnRoute || this.#versions.mayResume(member, engine)) {
      return isOnRoute;
    }
    return !(waits && this.#versions.isServing(member));
  }

  #group(item: IPendingItem): IItemGroup {
    const known = this.#groupOfItem.get(item);
    if (known) return known;
    const { progress, softwareVersion = "", versionDeadline } = item;
    const route = this.#routeOf(item);
    const hasBegun = progress.lastEventId !== undefined;
    const waits = versionDeadline !== undefined &&
      !this.#clock.isPast(versionDeadline);
    const key = `${hasBegun} ${waits} ${softwareVersion}`;
    const ofRoute = this.#groups.get(route) ?? new Map<string, IItemGroup>();
    this.#groups.set(route, ofRoute);
    const group = ofRoute.get(key) ??
      { route, member: item, waits, decisions: new Map() };
    ofRoute.set(key, group);
    this.#groupOfItem.set(item, group);
    return group;
  }

  #routeOf(item: IPendingItem): Route | undefined {
    const { id } = item.job.job;
    if (!this.#routes.has(id)) this.#routes.set(id, this.#findRoute(item));
    return this.#routes.get(id);
  }
}
