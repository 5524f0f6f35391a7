import { hashKey } from "../common/mod.ts";
import type { AcceptedConfiguration } from "./messages.ts";
import type {
  CallerRecord,
  Configuration,
  Engine,
  PlainService,
} from "./schema.ts";
import type { IConfigurationView, IServiceGrant } from "./types.ts";

/** Indexes one accepted configuration for look-ups. */
export class ConfigurationView implements IConfigurationView {
  readonly version: number;
  readonly document: Configuration;
  #callersByKey = new Map<string, CallerRecord>();
  #callersByName = new Map<string, CallerRecord>();
  #grants = new Map<string, IServiceGrant[]>();
  #engines = new Map<string, Engine[]>();

  constructor(accepted: AcceptedConfiguration) {
    this.version = accepted.version;
    this.document = accepted.document;
    for (const caller of this.document.callers) {
      this.#callersByKey.set(caller.keySha256, caller);
      this.#callersByName.set(caller.name, caller);
    }
    for (const engine of this.document.engines) {
      const engines = this.#engines.get(engine.service) ?? [];
      this.#engines.set(engine.service, [...engines, engine]);
    }
    this.#indexRules();
  }

  callerByKey(key: string): CallerRecord | undefined {
    return this.#callersByKey.get(hashKey(key));
  }

  callerByName(name: string): CallerRecord | undefined {
    return this.#callersByName.get(name);
  }

  grantsOf(caller: string): readonly IServiceGrant[] {
    return this.#grants.get(caller) ?? [];
  }

  grantByModel(caller: string, model: string): IServiceGrant | undefined {
    return this.grantsOf(caller).find(({ service }) => service.model === model);
  }

  plainService(caller: string, name: string): PlainService | undefined {
    const allowed = this.document.rules.some((rule) =>
      rule.callers.includes(caller) && rule.services.includes(name)
    );
    if (!allowed) return undefined;
    return this.document.plainServices.find((plain) => plain.name === name);
  }

  enginesOf(service: string): readonly Engine[] {
    return this.#engines.get(service) ?? [];
  }

  #indexRules(): void {
    const services = new Map(
      this.document.services.map((service) => [service.name, service]),
    );
    for (const rule of this.document.rules) {
      for (const name of rule.services) {
        const service = services.get(name);
        if (!service) continue;
        for (const caller of rule.callers) {
          const grants = this.#grants.get(caller) ?? [];
          this.#grants.set(caller, [...grants, { service, rule }]);
        }
      }
    }
  }
}
