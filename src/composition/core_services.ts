import { DisposableStore, type IClock, SystemClock } from "../common/mod.ts";
import { ServiceLevelRecorder } from "../burn/mod.ts";
import { ControlClient } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { TraceRecorder } from "../explain/mod.ts";
import {
  defineProcessMetrics,
  Metrics,
  MetricsEventLog,
} from "../metrics/mod.ts";
import { type PeerAddress, RpcClient, RpcServer } from "../rpc/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { HttpEngineAdapter, HttpPlainAdapter } from "../targets/mod.ts";

/** A control voter as listed in the settings. */
type VoterAddress = Settings["voters"][number];

/** Services that all other components depend on. */
export interface ICoreServices {
  readonly settings: Settings;
  readonly clock: IClock;
  /** Disposes of all components, the last added first. */
  readonly store: DisposableStore;
  readonly metrics: Metrics;
  readonly events: IEventLog;
  readonly trace: TraceRecorder;
  readonly serviceLevels: ServiceLevelRecorder;
  readonly server: RpcServer;
  readonly rpc: RpcClient;
  /** Address at which other instances reach this one. */
  readonly self: PeerAddress;
  readonly voters: readonly VoterAddress[];
  readonly control: ControlClient;
  readonly engines: HttpEngineAdapter;
  readonly plainTargets: HttpPlainAdapter;
}

/** Starts the RPC server and creates the shared services. */
export async function createCoreServices(
  settings: Settings,
  eventLog: IEventLog,
): Promise<ICoreServices> {
  const { id, fleet } = settings.instance;
  const { address } = settings.peers;
  const clock = new SystemClock();
  const store = new DisposableStore();
  const metrics = new Metrics();
  const events = new MetricsEventLog(eventLog, metrics);
  store.add(defineProcessMetrics(metrics));
  const server = store.add(new RpcServer(clock, events, { fleet }));
  const port = await server.listen(address, settings.peers.port);
  const rpc = store.add(new RpcClient(id, clock, { events, fleet }));
  const voters = settings.voters.map((voter) =>
    voter.port === 0 && voter.id === id ? { ...voter, port } : voter
  );
  return {
    settings,
    clock,
    store,
    metrics,
    events,
    trace: new TraceRecorder(id, clock),
    serviceLevels: new ServiceLevelRecorder(clock),
    server,
    rpc,
    self: { id, address, port },
    voters,
    control: new ControlClient(() => voters, rpc, { clock }),
    engines: store.add(new HttpEngineAdapter(clock)),
    plainTargets: store.add(new HttpPlainAdapter(clock)),
  };
}
