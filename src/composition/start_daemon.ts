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
import { createCallersServer, createOperatorsServer } from "./edges.ts";
import { createFleetView } from "./fleet_view.ts";
import { createFoundation } from "./foundation.ts";
import { createEngineParts, createLiveParts } from "./serving.ts";

/**
 * Wires the parts of a daemon and starts it.
 *
 * This module alone chooses implementations. Rejects when an address is in
 * use or the data folder cannot be read.
 */
export async function startDaemon(
  settings: Settings,
  eventLog: IEventLog,
): Promise<IDaemon> {
  const foundation = await createFoundation(settings, eventLog);
  const { store, clock, events, server, metrics } = foundation;
  const fleet = createFleetView(foundation);
  const log = await startControlReplica(foundation, fleet);
  store.add(registerExplainHandlers(server, foundation.trace));
  store.add(registerServiceLevelHandlers(server, foundation.serviceLevels));

  const parts = createEngineParts(foundation);
  const live = createLiveParts(foundation, fleet, parts);
  const runner = createJobRunner(foundation, fleet, parts);
  const callers = createCallersServer(foundation, fleet, live);
  const batch = {
    async stop() {
      await parts.ownership.leave();
      await runner.stop();
    },
  };
  const { heartbeat, configuration } = fleet;
  const stop = new GracefulStop(
    { membership: heartbeat, log, callers, batch, rest: store },
    settings.stopping,
    { clock, events },
  );
  const operators = createOperatorsServer(foundation, fleet, {
    log,
    isStopping: () => stop.hasBegun,
  });

  const rpc = foundation.rpc.statistics;
  defineInstanceMetrics(metrics, {
    membership: heartbeat,
    configuration,
    rpc,
    log,
  });
  fleet.platform?.start();
  heartbeat.start();
  live.reports.start();
  live.admission.start();
  parts.ownership.start();
  runner.start();
  const ports = {
    callers: await callers.listen(
      settings.callers.address,
      settings.callers.port,
    ),
    peers: foundation.self.port,
    operators: await operators.listen(
      settings.operators.address,
      settings.operators.port,
    ),
  };
  return { ports, stop: () => stop.run() };
}
