import type { IEvent } from "../common/mod.ts";
import type { AcceptedConfiguration } from "./messages.ts";
import type {
  CallerRecord,
  Configuration,
  Engine,
  PlainService,
  Rule,
  Service,
} from "./schema.ts";

/** Permission of a caller to use a model service, with its rule. */
export interface IServiceGrant {
  readonly service: Service;
  readonly rule: Rule;
}

/** Configuration with the look-ups that serving requests needs. */
export interface IConfigurationView {
  readonly version: number;
  readonly document: Configuration;
  /** Finds the caller that an API key belongs to. */
  callerByKey(key: string): CallerRecord | undefined;
  callerByName(name: string): CallerRecord | undefined;
  /** Grants of a caller, one for each model service. */
  grantsOf(caller: string): readonly IServiceGrant[];
  grantByModel(caller: string, model: string): IServiceGrant | undefined;
  /** Returns a plain service if the caller may use it. */
  plainService(caller: string, name: string): PlainService | undefined;
  enginesOf(service: string): readonly Engine[];
}

/** State of an instance at the leader, for the rollout of a version. */
export interface IRolloutInstance {
  readonly id: string;
  readonly configurationVersion: number;
  readonly health: "live" | "suspect" | "lost";
  readonly state: "starting" | "serving" | "leaving";
}

/** Health of the instances that a change has to reach. */
export interface IFleetHealth {
  readonly members: readonly IRolloutInstance[];
  /** Whether more than half of the known instances are live. */
  readonly hasLiveMajority: boolean;
  /** Seconds since the latest heartbeat of an instance. */
  secondsSinceHeartbeat(id: string): number;
}

/** The configuration that this instance has in force. */
export interface IConfigurationSource {
  /** Undefined until the first configuration has arrived. */
  readonly current: IConfigurationView | undefined;
  /** The configuration in force, as it was accepted. */
  readonly accepted: AcceptedConfiguration | undefined;
  readonly onChange: IEvent<IConfigurationView>;
  /** Puts a configuration into force if it is newer than the current one. */
  setIfNewer(accepted: AcceptedConfiguration): void;
}
