import {
  BatchAllowance,
  createLimitPolicy,
  TokenGaps,
} from "../allotment/mod.ts";
import { JobRunner } from "../jobs/mod.ts";
import type { IFleetView } from "./fleet_view.ts";
import type { ICoreServices } from "./core_services.ts";
import type { IEngineComponents } from "./serving.ts";

/** Creates the runner that executes batch items. */
export function createJobRunner(
  core: ICoreServices,
  fleet: IFleetView,
  engineComponents: IEngineComponents,
): JobRunner {
  const { settings, store, clock, control } = core;
  const { configuration, availability } = fleet;
  const { load, health, ownership, batchStreams } = engineComponents;
  const tokenGaps = new TokenGaps(clock);
  const policy = createLimitPolicy(settings.batch.limitPolicy);
  const allowance = store.add(
    new BatchAllowance(ownership, policy, {
      clock,
      configuration,
      availability,
      load,
      tokenGaps,
    }),
  );
  const { engines, trace, events } = core;
  return store.add(
    new JobRunner(control, {
      clock,
      configuration,
      engines,
      tokenGaps: tokenGaps,
      allowance,
      streams: batchStreams,
      health,
      trace,
      events,
    }),
  );
}
