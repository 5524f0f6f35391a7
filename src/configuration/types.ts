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

/** What a caller may do with a service. */
export interface IServiceGrant {
  readonly service: Service;
  readonly rule: Rule;
}

/** Configuration with the look-ups that serving needs. */
export interface IConfigurationView {
  readonly version: number;
  readonly document: Configuration;
  /** Finds the caller that an API key belongs to. */
  callerByKey(key: string): CallerRecord | undefined;
  callerByName(name: string): CallerRecord | undefined;
  /** Grants of a caller, one for each model service. */
  grantsOf(caller: string): readonly IServiceGrant[];
  grantByModel(caller: string, model: string): IServiceGrant | undefined;
  /** A plain service, if the caller may use it. */
  plainService(caller: string, name: string): PlainService | undefined;
  enginesOf(service: string): readonly Engine[];
}

/** An instance as the leader knows it, for the rollout of a version. */
export interface IRolloutInstance {
  readonly id: string;
  readonly configurationVersion: number;
  readonly health: "live" | "suspect" | "lost";
  readonly state: "starting" | "serving" | "leaving";
}

/** The instances that a change has to reach. */
export interface IFleetHealth {
  readonly members: readonly IRolloutInstance[];
  /** Whether more than half of the known instances were heard recently. */
  readonly hasLiveMajority: boolean;
  /** Seconds since an instance was heard. */
  secondsSinceHeartbeat(id: string): number;
}

/** The configuration that this instance has in force. */
export interface IConfigurationSource {
  /** Undefined until the first configuration has arrived. */
  readonly current: IConfigurationView | undefined;
  /** The configuration in force, as it was accepted. */
  readonly accepted: AcceptedConfiguration | undefined;
  readonly onChange: IEvent<IConfigurationView>;
  /** Takes a configuration unless it is older than the one in force. */
  setIfNewer(accepted: AcceptedConfiguration): void;
}
