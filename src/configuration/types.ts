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

/** The configuration that this instance has in force. */
export interface IConfigurationSource {
  /** Undefined until the first configuration has arrived. */
  readonly current: IConfigurationView | undefined;
  readonly onChange: IEvent<IConfigurationView>;
  /** Takes a configuration unless it is older than the one in force. */
  offer(accepted: AcceptedConfiguration): void;
}
