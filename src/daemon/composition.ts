import { randomInt, randomUUID } from "node:crypto";
import { join } from "node:path";
import {
  FleetAdmission,
  LatencyEstimates,
  LimitOwners,
  RetryBudget,
  ServiceGate,
} from "../admission/mod.ts";
import {
  BatchAllowance,
  BatchStreams,
  createLimitPolicy,
  EngineAssigner,
  EngineOwnership,
  LiveActivity,
  LoadExchange,
  StreamTimes,
} from "../allotment/mod.ts";
import {
  BurnReporter,
  handleServiceLevels,
  ServiceLevelRecorder,
} from "../burn/mod.ts";
import { DisposableStore, SystemClock } from "../common/mod.ts";
import {
  ConfigurationFetcher,
  ConfigurationHolder,
  ConfigurationSection,
  handleConfiguration,
  handlePeerFetches,
} from "../configuration/mod.ts";
import {
  ControlClient,
  FolderStorage,
  ReplicatedLog,
} from "../consensus/mod.ts";
import { Dispatcher, PlainDispatcher } from "../dispatch/mod.ts";
import {
  BatchesEndpoint,
  CallersServer,
  FilesEndpoint,
  GenerationEndpoint,
  LiveRecorder,
  ModelsEndpoint,
  PlainEndpoint,
} from "../entry/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import {
  ExplainCollector,
  handleExplain,
  TraceRecorder,
} from "../explain/mod.ts";
import {
  handleJobs,
  JobGateway,
  JobRunner,
  JobsSection,
  LeaseManager,
} from "../jobs/mod.ts";
import {
  Heartbeat,
  HttpPlatformAdapter,
  MemberRegistry,
  ServingPermission,
  TargetAvailability,
} from "../membership/mod.ts";
import {
  CountingEventLog,
  defineProcessMetrics,
  Metrics,
} from "../metrics/mod.ts";
import { OperationLedger, OperationsSection } from "../operations/mod.ts";
import {
  handleCacheTransfers,
  OrderIssuer,
  OrderReconciler,
} from "../orders/mod.ts";
import {
  configurationRoutes,
  OperatorsServer,
  reportRoutes,
  statusRoutes,
  voterRoutes,
} from "../operators/mod.ts";
import {
  BalancedSelector,
  LoadReportPoller,
  SeededRandom,
  TargetHealth,
} from "../routing/mod.ts";
import { RpcClient, RpcServer } from "../rpc/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { HttpEngineAdapter, HttpPlainAdapter } from "../targets/mod.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { defineInstanceMetrics } from "./instance_metrics.ts";
import type { IDaemon } from "./types.ts";

/** Bound of the seeds of random choices. */
const MAXIMUM_SEED = 0x7fffffff;

/** Wires the parts of a daemon; nothing else chooses implementations. */
export async function startDaemon(
  settings: Settings,
  eventLog: IEventLog,
): Promise<IDaemon> {
  const clock = new SystemClock();
  const store = new DisposableStore();
  const metrics = new Metrics();
  const events = new CountingEventLog(eventLog, metrics);
  store.add(defineProcessMetrics(metrics));
  const trace = new TraceRecorder(settings.instance.id, clock);
  const serviceLevels = new ServiceLevelRecorder(clock);
  const { fleet } = settings.instance;
  const server = store.add(new RpcServer(clock, events, { fleet }));
  const peerPort = await server.listen(
    settings.peers.address,
    settings.peers.port,
  );
  const self = {
    id: settings.instance.id,
    address: settings.peers.address,
    port: peerPort,
  };
  const rpc = store.add(new RpcClient(self.id, clock, { events, fleet }));
  const voters = settings.voters.map((voter) =>
    voter.port === 0 && voter.id === self.id
      ? { ...voter, port: peerPort }
      : voter
  );
  const control = new ControlClient(() => voters, rpc, { clock });

  const configuration = new ConfigurationHolder(events);
  store.add(handlePeerFetches(server, configuration));
  const fetcher = new ConfigurationFetcher(control, rpc, {
    holder: configuration,
    clock,
  });
  const platform = settings.platform &&
    store.add(new HttpPlatformAdapter(settings.platform, clock, { events }));
  const heartbeat = store.add(
    new Heartbeat(
      {
        ...self,
        region: settings.instance.region,
        failureDomain: settings.instance.failureDomain,
        state: "serving",
        incarnation: randomUUID(),
        configurationVersion: 0,
      },
      control,
      { configuration, fetcher, clock, platform },
    ),
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

  const engines = store.add(new HttpEngineAdapter(clock));
  let log: ReplicatedLog | undefined;
  if (settings.control) {
    const { dataFolder, start } = settings.control;
    const section = new ConfigurationSection();
    const jobs = new JobsSection(join(dataFolder, "jobs"));
    const sections = [section, jobs, new OperationsSection()];
    const own = voters.find(({ id }) => id === self.id);
    const { failureDomain } = settings.instance;
    log = new ReplicatedLog(own ?? { ...self, failureDomain }, sections, {
      ...{ rpc, server, clock, events, founders: voters, start },
      storage: new FolderStorage(dataFolder),
    });
    const registry = store.add(
      new MemberRegistry(log, section, {
        clock,
        server,
        events,
        copy: () => heartbeat,
      }),
    );
    store.add(
      handleConfiguration(server, log, { section, audience: registry }),
    );
    const issuer = store.add(new OrderIssuer(log, { engines, clock, events }));
    store.add(handleCacheTransfers(server, issuer, { section }));
    const reconciler = store.add(
      new OrderReconciler(log, { section, issuer, engines, clock, events }),
    );
    reconciler.start();
    store.add(handleJobs(server, log, { section: jobs }));
    store.add(new LeaseManager(log, jobs, { clock, server, events }));
    store.add(
      new EngineAssigner(log, server, {
        clock,
        document: () => section.current?.document,
      }),
    );
    await log.start();
  }

  store.add(handleExplain(server, trace));
  store.add(handleServiceLevels(server, serviceLevels));

  const { failureDomain } = settings.instance;
  const random = new SeededRandom(randomInt(MAXIMUM_SEED));
  const plainTargets = store.add(new HttpPlainAdapter(clock));
  const health = new TargetHealth({ clock, random, events });
  const activity = store.add(new LiveActivity());
  const batchStreams = new BatchStreams();
  const ownership = store.add(
    new EngineOwnership(
      { address: self, region: settings.instance.region },
      control,
      { clock, events },
    ),
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
  const reports = store.add(
    new LoadReportPoller(engines, configuration, { clock }),
  );
  const estimates = new LatencyEstimates(clock);
  const budgets = { live: new RetryBudget(), batch: new RetryBudget() };
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
  const owners = store.add(
    new LimitOwners(rpc, server, {
      clock,
      configuration,
      membership: heartbeat,
    }),
  );
  const gate = new ServiceGate({
    clock,
    configuration,
    load,
    health,
    availability,
    estimates,
  });
  const admission = store.add(new FleetAdmission({ clock, owners, gate }));
  const operations = new OperationLedger(control, { clock, events });
  const recorder = new LiveRecorder({
    clock,
    trace,
    serviceLevels,
    metrics,
  });
  const jobs = new JobGateway(control, clock);
  const times = new StreamTimes(clock);
  const allowance = store.add(
    new BatchAllowance(
      ownership,
      createLimitPolicy(settings.batch.limitPolicy),
      { clock, configuration, availability, load, times },
    ),
  );
  const runner = store.add(
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

  const callers = store.add(
    new CallersServer(configuration, [
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
    ], { events, permission }),
  );
  const stop = new GracefulStop(
    {
      membership: heartbeat,
      log,
      callers,
      batch: {
        async stop() {
          await ownership.leave();
          await runner.stop();
        },
      },
      rest: store,
    },
    settings.stopping,
    { clock, events },
  );
  const operators = store.add(
    new OperatorsServer([
      ...statusRoutes({
        membership: heartbeat,
        log,
        permission,
        isReady: () =>
          !stop.hasBegun && configuration.current !== undefined &&
          permission.mayServe,
      }),
      ...configurationRoutes(control, clock),
      ...voterRoutes(control, clock),
      ...reportRoutes({
        explain: new ExplainCollector(heartbeat, rpc),
        burn: new BurnReporter(heartbeat, rpc, { configuration, clock }),
        metrics,
        clock,
      }),
    ], { events }),
  );

  platform?.start();
  defineInstanceMetrics(metrics, {
    membership: heartbeat,
    configuration,
    rpc: rpc.statistics,
    log,
  });
  heartbeat.start();
  reports.start();
  admission.start();
  ownership.start();
  runner.start();
  const ports = {
    callers: await callers.listen(
      settings.callers.address,
      settings.callers.port,
    ),
    peers: peerPort,
    operators: await operators.listen(
      settings.operators.address,
      settings.operators.port,
    ),
  };
  return { ports, stop: () => stop.run() };
}
