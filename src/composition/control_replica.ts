import { join } from "node:path";
import { EngineAssigner } from "../allotment/mod.ts";
import {
  ConfigurationSection,
  registerConfigurationHandlers,
} from "../configuration/mod.ts";
import { FolderStorage, ReplicatedLog } from "../consensus/mod.ts";
import {
  JobsSection,
  LeaseManager,
  registerJobsHandlers,
} from "../jobs/mod.ts";
import { MemberRegistry } from "../membership/mod.ts";
import { OperationsSection } from "../operations/mod.ts";
import {
  OrderIssuer,
  OrderReconciler,
  registerCacheTransferHandlers,
} from "../orders/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { IFleetView } from "./fleet_view.ts";
import type { ICoreServices } from "./core_services.ts";

/** Sections of the replicated state machine. */
interface ISections {
  readonly configuration: ConfigurationSection;
  readonly jobs: JobsSection;
  readonly operations: OperationsSection;
}

/** Starts a replica of the control log; only instances with a disk have one. */
export async function startControlReplica(
  core: ICoreServices,
  fleet: IFleetView,
): Promise<ReplicatedLog | undefined> {
  const settings = core.settings.control;
  if (!settings) return undefined;
  const sections: ISections = {
    configuration: new ConfigurationSection(),
    jobs: new JobsSection(join(settings.dataFolder, "jobs")),
    operations: new OperationsSection(),
  };
  const log = createLog(core, sections, settings);
  addConfigurationComponents(core, log, { sections, fleet });
  addOrderComponents(core, log, sections);
  addBatchComponents(core, log, sections);
  await log.start();
  return log;
}

function createLog(
  core: ICoreServices,
  sections: ISections,
  settings: NonNullable<Settings["control"]>,
): ReplicatedLog {
  const { rpc, server, clock, events, self, voters } = core;
  const { failureDomain } = core.settings.instance;
  const configuredVoter = voters.find(({ id }) => id === self.id);
  const { configuration, jobs, operations } = sections;
  return new ReplicatedLog(
    configuredVoter ?? { ...self, failureDomain },
    [configuration, jobs, operations],
    {
      rpc,
      server,
      clock,
      events,
      founders: () => voters,
      start: settings.start,
      storage: new FolderStorage(settings.dataFolder),
    },
  );
}

function addConfigurationComponents(
  core: ICoreServices,
  log: ReplicatedLog,
  options: { sections: ISections; fleet: IFleetView },
): void {
  const { store, server, clock, events } = core;
  const section = options.sections.configuration;
  const fleetSnapshot = () => options.fleet.heartbeat;
  const registry = store.add(
    new MemberRegistry(log, section, {
      clock,
      server,
      events,
      fleetSnapshot,
    }),
  );
  store.add(
    registerConfigurationHandlers(server, log, { section, fleet: registry }),
  );
}

function addOrderComponents(
  core: ICoreServices,
  log: ReplicatedLog,
  sections: ISections,
): void {
  const { store, server, clock, events, engines } = core;
  const section = sections.configuration;
  const issuer = store.add(new OrderIssuer(log, { engines, clock, events }));
  store.add(registerCacheTransferHandlers(server, issuer, { section }));
  const reconciler = store.add(
    new OrderReconciler(log, { section, issuer, engines, clock, events }),
  );
  reconciler.start();
}

function addBatchComponents(
  core: ICoreServices,
  log: ReplicatedLog,
  sections: ISections,
): void {
  const { store, server, clock, events } = core;
  const { configuration, jobs } = sections;
  store.add(registerJobsHandlers(server, log, { section: jobs }));
  store.add(new LeaseManager(log, jobs, { clock, server, events }));
  const document = () => configuration.current?.document;
  store.add(new EngineAssigner(log, server, { clock, document }));
}
