import { join } from "node:path";
import { EngineAssigner } from "../allotment/mod.ts";
import {
  ConfigurationSection,
  handleConfiguration,
} from "../configuration/mod.ts";
import { FolderStorage, ReplicatedLog } from "../consensus/mod.ts";
import { handleJobs, JobsSection, LeaseManager } from "../jobs/mod.ts";
import { MemberRegistry } from "../membership/mod.ts";
import { OperationsSection } from "../operations/mod.ts";
import {
  handleCacheTransfers,
  OrderIssuer,
  OrderReconciler,
} from "../orders/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { IFleetView } from "./fleet_view.ts";
import type { IFoundation } from "./foundation.ts";

/** Sections of the replicated state. */
interface ISections {
  readonly configuration: ConfigurationSection;
  readonly jobs: JobsSection;
  readonly operations: OperationsSection;
}

/** Starts the replica of the log, on instances with a disk. */
export async function startControlReplica(
  foundation: IFoundation,
  fleet: IFleetView,
): Promise<ReplicatedLog | undefined> {
  const settings = foundation.settings.control;
  if (!settings) return undefined;
  const sections: ISections = {
    configuration: new ConfigurationSection(),
    jobs: new JobsSection(join(settings.dataFolder, "jobs")),
    operations: new OperationsSection(),
  };
  const log = createLog(foundation, sections, settings);
  addConfigurationDuties(foundation, log, { sections, fleet });
  addOrderDuties(foundation, log, sections);
  addBatchDuties(foundation, log, sections);
  await log.start();
  return log;
}

function createLog(
  foundation: IFoundation,
  sections: ISections,
  settings: NonNullable<Settings["control"]>,
): ReplicatedLog {
  const { rpc, server, clock, events, self, voters } = foundation;
  const { failureDomain } = foundation.settings.instance;
  const own = voters.find(({ id }) => id === self.id);
  const { configuration, jobs, operations } = sections;
  return new ReplicatedLog(
    own ?? { ...self, failureDomain },
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

function addConfigurationDuties(
  foundation: IFoundation,
  log: ReplicatedLog,
  options: { sections: ISections; fleet: IFleetView },
): void {
  const { store, server, clock, events } = foundation;
  const section = options.sections.configuration;
  const copy = () => options.fleet.heartbeat;
  const registry = store.add(
    new MemberRegistry(log, section, {
      clock,
      server,
      events,
      fleetSnapshot: copy,
    }),
  );
  store.add(handleConfiguration(server, log, { section, fleet: registry }));
}

function addOrderDuties(
  foundation: IFoundation,
  log: ReplicatedLog,
  sections: ISections,
): void {
  const { store, server, clock, events, engines } = foundation;
  const section = sections.configuration;
  const issuer = store.add(new OrderIssuer(log, { engines, clock, events }));
  store.add(handleCacheTransfers(server, issuer, { section }));
  const reconciler = store.add(
    new OrderReconciler(log, { section, issuer, engines, clock, events }),
  );
  reconciler.start();
}

function addBatchDuties(
  foundation: IFoundation,
  log: ReplicatedLog,
  sections: ISections,
): void {
  const { store, server, clock, events } = foundation;
  const { configuration, jobs } = sections;
  store.add(handleJobs(server, log, { section: jobs }));
  store.add(new LeaseManager(log, jobs, { clock, server, events }));
  const document = () => configuration.current?.document;
  store.add(new EngineAssigner(log, server, { clock, document }));
}
