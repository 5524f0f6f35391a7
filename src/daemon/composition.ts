import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { DisposableStore, SystemClock } from "../common/mod.ts";
import {
  ConfigurationHolder,
  ConfigurationSection,
  handleConfiguration,
} from "../configuration/mod.ts";
import {
  ControlClient,
  proposeMethod,
  SingleVoterLog,
} from "../consensus/mod.ts";
import { Dispatcher } from "../dispatch/mod.ts";
import {
  BatchesEndpoint,
  CallersServer,
  FilesEndpoint,
  GenerationEndpoint,
  ModelsEndpoint,
  PlainEndpoint,
} from "../entry/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import {
  handleJobs,
  ItemRunner,
  JobGateway,
  JobRunner,
  JobsSection,
  LeaseManager,
} from "../jobs/mod.ts";
import { Heartbeat, MemberRegistry } from "../membership/mod.ts";
import {
  configurationRoutes,
  OperatorsServer,
  statusRoutes,
} from "../operators/mod.ts";
import { LeastLoadedSelector } from "../routing/mod.ts";
import { RpcClient, RpcServer } from "../rpc/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { HttpEngineAdapter, HttpPlainAdapter } from "../targets/mod.ts";
import type { IDaemon } from "./types.ts";

/** Wires the parts of a daemon; nothing else chooses implementations. */
export async function startDaemon(
  settings: Settings,
  events: IEventLog,
): Promise<IDaemon> {
  const clock = new SystemClock();
  const store = new DisposableStore();
  const server = store.add(new RpcServer(clock, events));
  const peerPort = await server.listen(
    settings.peers.address,
    settings.peers.port,
  );
  const self = {
    id: settings.instance.id,
    address: settings.peers.address,
    port: peerPort,
  };
  const rpc = store.add(new RpcClient(self.id, clock, { events }));
  const voters = settings.voters.map((voter) =>
    voter.id === self.id ? { ...voter, port: peerPort } : voter
  );
  const control = new ControlClient(() => voters, rpc, { clock });

  let log: SingleVoterLog | undefined;
  if (settings.control) {
    const configuration = new ConfigurationSection();
    const jobs = new JobsSection(join(settings.control.dataFolder, "jobs"));
    log = new SingleVoterLog(self, [configuration, jobs], { clock });
    await log.start(join(settings.control.dataFolder, "log"));
    const replica = log;
    server.handle(proposeMethod, async ({ section, command }) => {
      const output = await replica.propose(section, command);
      return output.map((output) => ({ output }));
    });
    store.add(handleConfiguration(server, log, { section: configuration }));
    store.add(handleJobs(server, log, { section: jobs }));
    store.add(new LeaseManager(log, jobs, { clock, server }));
    store.add(new MemberRegistry(log, configuration, { clock, server }));
  }

  const configuration = new ConfigurationHolder(events);
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
      { configuration, clock },
    ),
  );

  const engines = store.add(new HttpEngineAdapter(clock));
  const plainTargets = store.add(new HttpPlainAdapter(clock));
  const selector = new LeastLoadedSelector(configuration);
  const dispatcher = new Dispatcher(selector, engines, { clock });
  const jobs = new JobGateway(control, clock);
  const items = new ItemRunner(dispatcher, configuration, { clock });
  const runner = store.add(
    new JobRunner(control, items, { configuration, clock }),
  );

  const callers = store.add(
    new CallersServer(configuration, [
      new GenerationEndpoint(dispatcher, clock),
      new ModelsEndpoint(),
      new FilesEndpoint(jobs, clock),
      new BatchesEndpoint(jobs, clock),
      new PlainEndpoint(plainTargets, clock),
    ], { events }),
  );
  let stopping = false;
  const operators = store.add(
    new OperatorsServer([
      ...statusRoutes({
        membership: heartbeat,
        log,
        isReady: () => !stopping && configuration.current !== undefined,
      }),
      ...configurationRoutes(control, clock),
    ]),
  );

  heartbeat.start();
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
  return {
    ports,
    async stop() {
      stopping = true;
      heartbeat.setState("leaving");
      await callers.drain();
      runner.dispose();
      await log?.stop();
      store.dispose();
    },
  };
}
