import {
  DisposableStore,
  type IClock,
  SystemClock,
} from "../src/common/mod.ts";
import {
  applyConfigurationMethod,
  type ApplyOutput,
  ConfigurationFetcher,
  ConfigurationHolder,
  configurationSchema,
  ConfigurationSection,
  registerConfigurationHandlers,
  registerPeerFetchHandlers,
} from "../src/configuration/mod.ts";
import { ControlClient } from "../src/consensus/mod.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import {
  HeartbeatClient,
  type IFleetSnapshot,
  MemberRegistry,
  ServingPermission,
} from "../src/membership/mod.ts";
import { type PeerAddress, RpcClient, RpcServer } from "../src/rpc/mod.ts";
import type { IPlatformAdapter } from "../src/targets/mod.ts";
import { FakeLog } from "./fake_log.ts";
import { Relay } from "./relay.ts";

const clock = new SystemClock();
const events = new SilentEventLog();

/** Control services of a leader, on an RPC server that listens on loopback. */
export class ControlLeader {
  readonly store = new DisposableStore();
  readonly section = new ConfigurationSection();
  readonly log = new FakeLog([this.section]);
  readonly server = this.store.add(new RpcServer(clock, events));
  readonly registry: MemberRegistry;
  address!: PeerAddress;

  constructor(fleetSnapshot?: () => IFleetSnapshot) {
    this.registry = this.store.add(
      new MemberRegistry(this.log, this.section, {
        clock,
        server: this.server,
        events,
        fleetSnapshot: fleetSnapshot ??
          (() => ({ members: [], leavingTargets: new Set() })),
      }),
    );
    const options = { section: this.section, fleet: this.registry };
    this.store.add(
      registerConfigurationHandlers(this.server, this.log, options),
    );
  }

  async listen(): Promise<PeerAddress> {
    const port = await this.server.listen("127.0.0.1", 0);
    this.address = { id: "voter-0", address: "127.0.0.1", port };
    return this.address;
  }
}

/** Options of a control member. */
export interface IControlMemberOptions {
  readonly id: string;
  readonly voters: () => readonly PeerAddress[];
  readonly platform?: IPlatformAdapter;
  readonly clock?: IClock;
}

/** Control services of an instance, without caller and target handling. */
export class ControlMember {
  readonly store = new DisposableStore();
  readonly holder = new ConfigurationHolder(events);
  readonly server: RpcServer;
  /** Relay through which other instances connect to this one. */
  readonly relay: Relay;
  readonly rpc: RpcClient;
  readonly control: ControlClient;
  readonly fetcher: ConfigurationFetcher;
  readonly heartbeat: HeartbeatClient;
  readonly permission: ServingPermission;

  private constructor(
    options: IControlMemberOptions,
    listener: { server: RpcServer; relay: Relay; port: number },
  ) {
    const { id, voters, platform } = options;
    this.server = this.store.add(listener.server);
    this.relay = this.store.add(listener.relay);
    this.rpc = this.store.add(new RpcClient(id, clock, { events }));
    this.control = new ControlClient(voters, this.rpc, { clock });
    this.fetcher = new ConfigurationFetcher(this.control, this.rpc, {
      holder: this.holder,
      clock,
    });
    this.store.add(registerPeerFetchHandlers(this.server, this.holder));
    this.heartbeat = this.store.add(
      new HeartbeatClient(
        {
          id,
          address: "127.0.0.1",
          port: listener.port,
          region: "test",
          failureDomain: "domain-0",
          state: "serving",
          incarnation: `${id}-1`,
          configurationVersion: 0,
        },
        this.control,
        {
          configuration: this.holder,
          fetcher: this.fetcher,
          clock,
          platform,
        },
      ),
    );
    this.permission = this.store.add(
      new ServingPermission({
        clock: options.clock ?? clock,
        configuration: this.holder,
        freshness: this.heartbeat,
        membership: this.heartbeat,
        fetcher: this.fetcher,
        voters,
        events,
      }),
    );
  }

  /** Starts a member: it listens for RPCs and sends heartbeats. */
  static async start(options: IControlMemberOptions): Promise<ControlMember> {
    const server = new RpcServer(clock, events);
    const relay = new Relay(await server.listen("127.0.0.1", 0));
    const port = await relay.listen();
    const member = new ControlMember(options, { server, relay, port });
    member.heartbeat.start();
    return member;
  }
}

/** Applies a configuration document at the leader; throws if it fails. */
export async function applyDocument(
  member: ControlMember,
  options: { changeId: string; version: number; document: object },
): Promise<ApplyOutput> {
  const answer = await member.control.call(applyConfigurationMethod, {
    kind: "apply",
    changeId: options.changeId,
    operator: "test",
    expectedVersion: options.version,
    document: configurationSchema.parse(options.document),
  }, { deadline: clock.deadlineIn(5_000) });
  if (answer.isErr()) throw new Error(answer.error.message);
  return answer.value;
}

/** Builds a configuration document that depends on the seed. */
export function testDocument(seed: number, engines = 3): object {
  return {
    places: [{ region: "test", failureDomains: ["domain-0"] }],
    services: [{ name: "alerts", model: `model-${seed}` }],
    engines: Array.from({ length: engines }, (_, index) => ({
      id: `engine-${index}`,
      service: "alerts",
      address: "127.0.0.1",
      port: 1_000 + index,
      failureDomain: "domain-0",
    })),
    callers: [],
    rules: [],
  };
}
