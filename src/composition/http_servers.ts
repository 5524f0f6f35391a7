import { BurnReporter } from "../burn/mod.ts";
import type { ReplicatedLog } from "../consensus/mod.ts";
import {
  BatchesEndpoint,
  CallersServer,
  FilesEndpoint,
  GenerationEndpoint,
  LiveRecorder,
  ModelsEndpoint,
  PlainEndpoint,
} from "../entry/mod.ts";
import { ExplainCollector } from "../explain/mod.ts";
import { JobGateway } from "../jobs/mod.ts";
import { OperationLedger } from "../operations/mod.ts";
import {
  configurationRoutes,
  OperatorsServer,
  reportRoutes,
  statusRoutes,
  voterRoutes,
} from "../operators/mod.ts";
import type { IFleetView } from "./fleet_view.ts";
import type { ICoreServices } from "./core_services.ts";
import type { ILiveComponents } from "./serving.ts";

/** Creates the HTTP server for callers. */
export function createCallersServer(
  core: ICoreServices,
  fleet: IFleetView,
  liveComponents: ILiveComponents,
): CallersServer {
  const { store, clock, control, events } = core;
  const { trace, serviceLevels, metrics } = core;
  const { configuration, permission } = fleet;
  const { dispatcher, plainDispatcher, admission } = liveComponents;
  const operations = store.add(
    new OperationLedger(control, { clock, events }),
  );
  const recorder = new LiveRecorder({ clock, trace, serviceLevels, metrics });
  const jobs = new JobGateway(control, clock);
  const endpoints = [
    new GenerationEndpoint(dispatcher, {
      clock,
      admission,
      operations,
      recorder,
    }),
    new ModelsEndpoint(),
    new FilesEndpoint(jobs, clock),
    new BatchesEndpoint(jobs, clock),
    new PlainEndpoint(plainDispatcher, { clock, admission, operations }),
  ];
  return store.add(
    new CallersServer(configuration, endpoints, { events, permission }),
  );
}

/** Creates the HTTP server for status, configuration, voters and reports. */
export function createOperatorsServer(
  core: ICoreServices,
  fleet: IFleetView,
  options: { log: ReplicatedLog | undefined; isStopping: () => boolean },
): OperatorsServer {
  const { store, clock, control, rpc, metrics, events } = core;
  const { configuration, heartbeat, permission } = fleet;
  const { log, isStopping } = options;
  const isReady = () =>
    !isStopping() && configuration.current !== undefined &&
    permission.mayServe;
  const routes = [
    ...statusRoutes({ membership: heartbeat, log, permission, isReady }),
    ...configurationRoutes(control, clock),
    ...voterRoutes(control, clock),
    ...reportRoutes({
      explain: new ExplainCollector(heartbeat, rpc),
      burn: new BurnReporter(heartbeat, rpc, { configuration, clock }),
      metrics,
      clock,
    }),
  ];
  return store.add(new OperatorsServer(routes, { events }));
}
