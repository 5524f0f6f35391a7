import { randomUUID } from "node:crypto";
import {
  ConfigurationFetcher,
  ConfigurationHolder,
  registerPeerFetchHandlers,
} from "../configuration/mod.ts";
import {
  HeartbeatClient,
  HttpPlatformAdapter,
  ServingPermission,
  TargetAvailability,
} from "../membership/mod.ts";
import type { ICoreServices } from "./core_services.ts";

/** Components that hold this instance's view of the fleet. */
export interface IFleetView {
  readonly configuration: ConfigurationHolder;
  readonly platform: HttpPlatformAdapter | undefined;
  readonly heartbeat: HeartbeatClient;
  readonly permission: ServingPermission;
  readonly availability: TargetAvailability;
}

/** Creates the components that track the fleet and its configuration. */
export function createFleetView(core: ICoreServices): IFleetView {
  const { settings, clock, store, events } = core;
  const { control, rpc, self, server, voters } = core;
  const configuration = new ConfigurationHolder(events);
  store.add(registerPeerFetchHandlers(server, configuration));
  const fetcher = new ConfigurationFetcher(control, rpc, {
    holder: configuration,
    clock,
  });
  const platform = settings.platform &&
    store.add(new HttpPlatformAdapter(settings.platform, clock, { events }));
  const { region, failureDomain } = settings.instance;
  const instance = {
    ...self,
    region,
    failureDomain,
    state: "serving" as const,
    incarnation: randomUUID(),
    configurationVersion: 0,
  };
  const heartbeat = store.add(
    new HeartbeatClient(instance, control, {
      configuration,
      fetcher,
      clock,
      platform,
    }),
  );
  const permission = store.add(
    new ServingPermission({
      clock,
      configuration,
      freshness: heartbeat,
      membership: heartbeat,
      fetcher,
      voters: () => voters,
      events,
    }),
  );
  const availability = store.add(new TargetAvailability(platform, heartbeat));
  return { configuration, platform, heartbeat, permission, availability };
}
