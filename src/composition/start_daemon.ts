import { registerServiceLevelHandlers } from "../burn/mod.ts";
import {
  defineInstanceMetrics,
  GracefulStop,
  type IDaemon,
} from "../daemon/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { registerExplainHandlers } from "../explain/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { createJobRunner } from "./batch.ts";
import { startControlReplica } from "./control_replica.ts";
import { createCallersServer, createOperatorsServer } from "./http_servers.ts";
import { createFleetView } from "./fleet_view.ts";
import { createCoreServices } from "./core_services.ts";
import { createEngineComponents, createLiveComponents } from "./serving.ts";

/**
 * Creates the components of a daemon and starts it.
 *
 * Only this folder selects the implementations of a daemon's interfaces.
 * Rejects if an address is in use or the data folder cannot be read.
 */
export async function startDaemon(
  settings: Settings,
  eventLog: IEventLog,
): Promise<IDaemon> {
  const core = await createCoreServices(settings, eventLog);
  const { store, clock, events, server, metrics } = core;
  const fleet = createFleetView(core);
  const log = await startControlReplica(core, fleet);
  store.add(registerExplainHandlers(server, core.trace));
  store.add(registerServiceLevelHandlers(server, core.serviceLevels));

  const engineComponents = createEngineComponents(core);
  const liveComponents = createLiveComponents(core, fleet, engineComponents);
  const runner = createJobRunner(core, fleet, engineComponents);
  const callers = createCallersServer(core, fleet, liveComponents);
  const batch = {
    async stop() {
      await engineComponents.ownership.leave();
      await runner.stop();
    },
  };
  const { heartbeat, configuration } = fleet;
  const stop = new GracefulStop(
    { membership: heartbeat, log, callers, batch, resources: store },
    settings.stopping,
    { clock, events },
  );
  const operators = createOperatorsServer(core, fleet, {
    log,
    isStopping: () => stop.hasStarted,
  });

  const rpc = core.rpc.statistics;
  defineInstanceMetrics(metrics, {
    membership: heartbeat,
    configuration,
    rpc,
    log,
  });
  fleet.platform?.start();
  heartbeat.start();
  liveComponents.reports.start();
  liveComponents.admission.start();
  engineComponents.ownership.start();
  runner.start();
  const ports = {
    callers: await callers.listen(
      settings.callers.address,
      settings.callers.port,
    ),
    peers: core.self.port,
    operators: await operators.listen(
      settings.operators.address,
      settings.operators.port,
    ),
  };
  return { ports, stop: () => stop.run() };
}
