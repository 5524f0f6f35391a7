import type { ListedEngine } from "../placement/mod.ts";
import type { IPendingItem } from "./pending_items.ts";

/** Software versions of the listed engines, by service. */
export class EngineVersions {
  #all = new Map<string, Set<string>>();
  /** Versions with an engine that accepts new work. */
  #serving = new Set<string>();

  constructor(engines: readonly { readonly engine: ListedEngine }[]) {
    for (const { engine } of engines) {
      const { service, softwareVersion } = engine;
      const versions = this.#all.get(service) ?? new Set();
      this.#all.set(service, versions.add(softwareVersion));
      if (!engine.isLeaving) this.#serving.add(softwareVersion);
    }
  }

  /** Whether an engine may continue the text of an item. */
  mayResume(
    { progress, softwareVersion }: IPendingItem,
    engine: ListedEngine,
  ): boolean {
    if (progress.lastEventId === undefined) return true;
    // Progress of unknown version fits if the service has only one version.
    if (softwareVersion === undefined) {
      return this.#all.get(engine.service)?.size === 1;
    }
    return softwareVersion === engine.softwareVersion;
  }

  /** Whether an engine serves that can resume an item. */
  isServing({ softwareVersion }: IPendingItem): boolean {
    return softwareVersion !== undefined && this.#serving.has(softwareVersion);
  }
}
