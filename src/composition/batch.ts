import {
  BatchAllowance,
  createLimitPolicy,
  TokenGaps,
} from "../allotment/mod.ts";
import { JobRunner } from "../jobs/mod.ts";
import type { IFleetView } from "./fleet_view.ts";
import type { IFoundation } from "./foundation.ts";
import type { IEngineParts } from "./serving.ts";

/** Creates the runner of batch items. */
export function createJobRunner(
  foundation: IFoundation,
  fleet: IFleetView,
  parts: IEngineParts,
): JobRunner {
  const { settings, store, clock, control } = foundation;
  const { configuration, availability } = fleet;
  const { load, health, ownership, batchStreams } = parts;
  const times = new TokenGaps(clock);
  const policy = createLimitPolicy(settings.batch.limitPolicy);
  const allowance = store.add(
    new BatchAllowance(ownership, policy, {
      clock,
      configuration,
      availability,
      load,
      tokenGaps: times,
    }),
  );
  const { engines, trace, events } = foundation;
  return store.add(
    new JobRunner(control, {
      clock,
      configuration,
      engines,
      times,
      allowance,
      streams: batchStreams,
      health,
      trace,
      events,
    }),
  );
}
