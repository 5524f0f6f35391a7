import { randomInt } from "node:crypto";
import {
  FleetAdmission,
  LatencyEstimates,
  LimitOwners,
  RetryBudget,
  ServiceGate,
} from "../admission/mod.ts";
import {
  BatchStreams,
  EngineOwnership,
  LiveActivity,
  LoadExchange,
} from "../allotment/mod.ts";
import { Dispatcher, PlainDispatcher } from "../dispatch/mod.ts";
import {
  BalancedSelector,
  LoadReportPoller,
  SeededRandom,
  TargetHealth,
} from "../routing/mod.ts";
import type { IFleetView } from "./fleet_view.ts";
import type { ICoreServices } from "./core_services.ts";

/** Exclusive upper bound of random seeds: the largest 31-bit integer. */
const MAXIMUM_SEED = 0x7fffffff;

/** Components that track engine load and the owners of batch streams. */
export interface IEngineComponents {
  readonly activity: LiveActivity;
  readonly batchStreams: BatchStreams;
  readonly ownership: EngineOwnership;
  readonly load: LoadExchange;
  readonly health: TargetHealth;
  readonly random: SeededRandom;
}

/** Components that answer live requests. */
export interface ILiveComponents {
  readonly dispatcher: Dispatcher;
  readonly plainDispatcher: PlainDispatcher;
  readonly admission: FleetAdmission;
  readonly reports: LoadReportPoller;
}

/** Creates the components that track the load of the engines. */
export function createEngineComponents(core: ICoreServices): IEngineComponents {
  const { store, clock, events, control, rpc, server, self } = core;
  const random = new SeededRandom(randomInt(MAXIMUM_SEED));
  const activity = store.add(new LiveActivity());
  const batchStreams = new BatchStreams();
  const { region } = core.settings.instance;
  const ownership = store.add(
    new EngineOwnership({ address: self, region }, control, { clock, events }),
  );
  const load = store.add(
    new LoadExchange(ownership, {
      rpc,
      server,
      clock,
      activity,
      batch: batchStreams,
    }),
  );
  const health = new TargetHealth({ clock, random, events });
  return { activity, batchStreams, ownership, load, health, random };
}

/** Creates the components that answer live requests. */
export function createLiveComponents(
  core: ICoreServices,
  fleet: IFleetView,
  engineComponents: IEngineComponents,
): ILiveComponents {
  const { store, clock, engines, plainTargets, trace } = core;
  const { configuration, availability } = fleet;
  const { activity, load, health, random } = engineComponents;
  const { failureDomain } = core.settings.instance;
  const reports = store.add(
    new LoadReportPoller(engines, configuration, { clock }),
  );
  const estimates = new LatencyEstimates(clock);
  const budgets = { live: new RetryBudget(), batch: new RetryBudget() };
  core.metrics.gauge(
    "figroad_retries_saved",
    "Retries that this instance may make at once, by kind of request.",
    () =>
      Object.entries(budgets).map(([kind, { saved }]) => ({
        value: saved,
        labels: { kind },
      })),
  );
  const selector = new BalancedSelector(configuration, {
    clock,
    random,
    failureDomain,
    activity,
    load,
    reports,
    health,
    availability,
  });
  const dispatcher = new Dispatcher({
    selector,
    engines,
    clock,
    budgets,
    estimates,
    trace,
    random,
  });
  const plainDispatcher = new PlainDispatcher({
    targets: plainTargets,
    clock,
    random,
    failureDomain,
    health,
    availability,
    budget: budgets.live,
    trace,
  });
  const gate = new ServiceGate({
    clock,
    configuration,
    load,
    health,
    availability,
    estimates,
  });
  const admission = createAdmission(core, fleet, gate);
  return { dispatcher, plainDispatcher, admission, reports };
}

function createAdmission(
  core: ICoreServices,
  fleet: IFleetView,
  gate: ServiceGate,
): FleetAdmission {
  const { store, clock, rpc, server } = core;
  const { configuration, heartbeat } = fleet;
  const owners = store.add(
    new LimitOwners(rpc, server, {
      clock,
      configuration,
      membership: heartbeat,
    }),
  );
  return store.add(new FleetAdmission({ clock, owners, gate }));
}
