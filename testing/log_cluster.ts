import { Buffer } from "node:buffer";
import { z } from "zod";
import { invariant } from "../src/common/mod.ts";
import {
  type FounderAddress,
  type IApplyContext,
  type ICompactionPolicy,
  type IStateSection,
  type IVoterPolicy,
  ReplicatedLog,
  type SectionSnapshot,
} from "../src/consensus/mod.ts";
import type { IEventDefinition } from "../src/events/mod.ts";
import { FakeDisk, FakeStorage } from "./fake_storage.ts";
import { FakeNetwork } from "./fake_network.ts";
import { TestRandom } from "./test_random.ts";
import { VirtualClock, VirtualTime } from "./virtual_clock.ts";

const TIMING = {
  heartbeatInterval: 30,
  minimumElectionTimeout: 150,
  electionTimeoutJitter: 150,
  appendTimeout: 400,
};

/** Thresholds low enough that every test run takes snapshots. */
const COMPACTION = {
  entries: 40,
  bytes: 1_000_000,
  trailingEntries: 5,
  trailingCharacters: 1_000_000,
};

const PROPOSAL_TIMEOUT_MILLISECONDS = 1_000;

/** Longest time for the planned stop of a node. */
const STOP_LIMIT_MILLISECONDS = 4_000;

const ITEMS_FILE = "register/items";

/** State section that records command ids in memory and in a file. */
export class RegisterSection implements IStateSection {
  readonly definition = {
    name: "register",
    command: z.object({ id: z.string() }),
    output: z.object({ index: z.number() }),
  };
  /** Log index and id of each applied command. */
  items: [number, string][] = [];
  isSnapshotFailing = false;
  /** Promise that snapshots await before they are captured, if set. */
  snapshotGate: Promise<void> | undefined;
  #storage: FakeStorage;
  #appliedCommands: Map<number, string>;

  /** @param appliedCommands command ids by index, shared by all replicas. */
  constructor(storage: FakeStorage, appliedCommands: Map<number, string>) {
    this.#storage = storage;
    this.#appliedCommands = appliedCommands;
  }

  apply(command: unknown, { index }: IApplyContext): { index: number } {
    const { id } = command as { id: string };
    const other = this.#appliedCommands.get(index) ?? id;
    invariant(
      other === id,
      `both ${other} and ${id} were applied at index ${index}`,
    );
    this.#appliedCommands.set(index, id);
    this.items.push([index, id]);
    this.#storage.append(ITEMS_FILE, Buffer.from(`${id}\n`));
    return { index };
  }

  async snapshot(): Promise<SectionSnapshot> {
    if (this.isSnapshotFailing) throw new Error("simulated failure");
    await this.snapshotGate;
    const state = structuredClone(this.items);
    const text = this.items.map(([, id]) => `${id}\n`).join("");
    await this.#storage.sync(ITEMS_FILE);
    return { state, files: [{ name: "items", length: text.length }] };
  }

  async restore(snapshot: SectionSnapshot): Promise<void> {
    this.items = snapshot.state as [number, string][];
    const text = this.items.map(([, id]) => `${id}\n`).join("");
    const file = (await this.#storage.read(ITEMS_FILE))?.toString();
    invariant(file === text, "the file must match the snapshot");
  }

  async reset(): Promise<void> {
    this.items = [];
    await this.#storage.remove(ITEMS_FILE);
  }
}

/** A replica with its disk; the disk survives a crash of the process. */
export class ClusterNode {
  readonly address: FounderAddress;
  readonly disk: FakeDisk;
  readonly events: string[] = [];
  log!: ReplicatedLog;
  section!: RegisterSection;
  clock!: VirtualClock;
  #storage!: FakeStorage;
  #cluster: LogCluster;
  #rate: number;

  constructor(cluster: LogCluster, address: FounderAddress, rate: number) {
    this.#cluster = cluster;
    this.address = address;
    this.#rate = rate;
    this.disk = new FakeDisk(cluster.random);
  }

  get isUp(): boolean {
    return this.clock !== undefined && !this.clock.isEnded;
  }

  get isLeader(): boolean {
    return this.isUp && this.log.leadership.isLeader;
  }

  /** Whether this node holds an unexpired leader lease. */
  get hasLease(): boolean {
    const until = this.isUp ? this.log.leaseUntil : undefined;
    return until !== undefined && !this.clock.isPast(until);
  }

  async start(mode: "bootstrap" | "join" = "bootstrap"): Promise<void> {
    const { time, network, random, compaction, appliedCommands } =
      this.#cluster;
    const founders = this.#cluster.foundersSeenBy(this.address);
    this.clock = new VirtualClock(time, this.#rate);
    this.#storage = new FakeStorage(this.disk, this.clock);
    const endpoint = network.connect(this.address.id, this.clock);
    this.section = new RegisterSection(this.#storage, appliedCommands);
    this.log = new ReplicatedLog(this.address, [this.section], {
      rpc: endpoint,
      server: endpoint,
      storage: this.#storage,
      clock: this.clock,
      events: {
        emit: (event: IEventDefinition, fields: unknown) => {
          this.events.push(`${event.name} ${JSON.stringify(fields)}`);
        },
      },
      founders: () => founders,
      start: mode,
      voterPolicy: this.#cluster.voterPolicy,
      timing: TIMING,
      compaction,
      random: () => random.integer(0, 999) / 1_000,
    });
    await this.log.start();
  }

  /** Stops the process as on a signal that announces its end. */
  async stop(): Promise<void> {
    const { log, clock } = this;
    const deadline = clock.deadlineIn(STOP_LIMIT_MILLISECONDS);
    await log.transferLeadership({ deadline });
    await log.leave({ deadline });
    await log.stop();
    if (this.clock === clock) this.crash();
  }

  /** Ends the process and loses unsynced bytes. */
  crash(): void {
    this.clock.isEnded = true;
    this.#storage.isEnded = true;
    this.disk.crash();
  }

  /** Erases the data folder; the process must not be running. */
  wipeDisk(): void {
    this.disk.files.clear();
  }

  hasEvent(name: string): boolean {
    return this.events.some((event) => event.startsWith(`${name} `));
  }
}

/** Cluster of replicas in virtual time that records command outcomes. */
export class LogCluster {
  readonly time = new VirtualTime();
  readonly random: TestRandom;
  readonly network: FakeNetwork;
  readonly founders: FounderAddress[] = [];
  /** Whether each node lists a different port for itself than others do. */
  usesTranslatedPorts = false;
  /** Policy by which leaders maintain the voters; none by default. */
  voterPolicy: IVoterPolicy | undefined;
  readonly nodes: ClusterNode[] = [];
  readonly compaction: ICompactionPolicy;
  /** Ids of the commands applied by any replica, by log index. */
  readonly appliedCommands = new Map<number, string>();
  /** Log index of each acknowledged command, by id. */
  readonly acknowledged = new Map<string, number>();
  /** Characters that are added to the ids of new commands. */
  padding = "";
  #nextCommand = 0;

  constructor(
    voters: number,
    seed: number,
    compaction: Partial<ICompactionPolicy> = {},
  ) {
    this.random = new TestRandom(seed);
    this.network = new FakeNetwork(this.time, this.random);
    this.compaction = { ...COMPACTION, ...compaction };
    for (let index = 0; index < voters; index++) {
      const address = {
        id: `node-${index}`,
        address: "127.0.0.1",
        port: index,
        failureDomain: `domain-${index % 3}`,
      };
      this.founders.push(address);
      this.add(address);
    }
  }

  /** Creates a cluster, starts all nodes and waits for a leader. */
  static async start(
    voters: number,
    seed: number,
    compaction: Partial<ICompactionPolicy> = {},
  ): Promise<LogCluster> {
    const cluster = new LogCluster(voters, seed, compaction);
    for (const node of cluster.nodes) void node.start();
    await cluster.untilLeader();
    return cluster;
  }

  /** Starts a cluster that maintains three voters, with a fourth replica. */
  static async startWithSpare(
    seed: number,
    retiring: ReadonlySet<string> = new Set(),
  ): Promise<{ cluster: LogCluster; spare: ClusterNode }> {
    const cluster = new LogCluster(3, seed);
    cluster.voterPolicy = {
      targetVoters: 3,
      isRetiring: (id) => retiring.has(id),
    };
    for (const node of cluster.nodes) void node.start();
    await cluster.untilLeader();
    await cluster.commit(20);
    const spare = await cluster.addSpare();
    return { cluster, spare };
  }

  /** Adds a node and waits until it is a learner that has caught up. */
  async addSpare(): Promise<ClusterNode> {
    const index = this.nodes.length;
    const spare = this.add({
      ...this.founders[0]!,
      ...{ id: `node-${index}`, port: index },
    });
    await this.untilSettled(spare.start("join"));
    await this.time.advanceUntil(
      "the spare has caught up",
      () => {
        const { learners = [], commitIndex } = this.leader?.log.status() ?? {};
        return learners.some(({ id }) => id === spare.address.id) &&
          spare.log.status().appliedIndex === commitIndex;
      },
    );
    return spare;
  }

  /** Returns the founders as the settings of a node list them. */
  foundersSeenBy(node: FounderAddress): FounderAddress[] {
    if (!this.usesTranslatedPorts) return this.founders;
    return this.founders.map((founder) =>
      founder.id === node.id ? { ...founder, port: founder.port + 1 } : founder
    );
  }

  /**
   * Adds a node whose clock is up to 2 % fast or slow, so that the rates of two
   * clocks differ by less than `CLOCK_DRIFT_BOUND`.
   */
  add(address: FounderAddress): ClusterNode {
    const rate = 1 + this.random.integer(-20, 20) / 1_000;
    const node = new ClusterNode(this, address, rate);
    this.nodes.push(node);
    return node;
  }

  get leader(): ClusterNode | undefined {
    return this.nodes
      .filter((node) => node.isLeader)
      .sort((a, b) => b.log.leadership.term - a.log.leadership.term)[0];
  }

  get followers(): ClusterNode[] {
    return this.nodes.filter((node) => node.isUp && node !== this.leader);
  }

  async untilLeader(): Promise<ClusterNode> {
    await this.time.advanceUntil(
      "leader holds a lease",
      () => this.leader?.hasLease ?? false,
    );
    const { leader } = this;
    if (!leader) throw new Error("there is no leader");
    return leader;
  }

  /** Proposes a new command; resolves with true if it is acknowledged. */
  async propose(node = this.leader): Promise<boolean> {
    if (!node) return false;
    const id = `command-${this.#nextCommand++}${this.padding}`;
    const { clock, log } = node;
    const options = {
      deadline: clock.deadlineIn(PROPOSAL_TIMEOUT_MILLISECONDS),
    };
    const answer = await log.propose("register", { id }, options);
    if (answer.isErr() || clock.isEnded) return false;
    this.acknowledged.set(id, (answer.value as { index: number }).index);
    return true;
  }

  /** Proposes commands one at a time until `count` are acknowledged. */
  async commit(count: number): Promise<void> {
    const goal = this.acknowledged.size + count;
    while (this.acknowledged.size < goal) {
      await this.untilSettled(this.propose());
    }
  }

  /** Advances virtual time until a promise settles. */
  async untilSettled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const finish = () => isSettled = true;
    void promise.then(finish, finish);
    await this.time.advanceUntil("promise settles", () => isSettled);
    return await promise;
  }

  /** Advances time until all nodes have applied the same commands. */
  async untilEqual(nodes = this.nodes): Promise<void> {
    const [first, ...others] = nodes;
    const state = (node?: ClusterNode) => JSON.stringify(node?.section.items);
    await this.time.advanceUntil(
      "nodes have equal state",
      () =>
        others.every((node) => state(node) === state(first)) &&
        nodes.every((node) => {
          const { appliedIndex, commitIndex } = node.log.status();
          return appliedIndex === commitIndex;
        }),
    );
  }

  /** Describes lost and duplicated commands; call after `untilEqual`. */
  findViolations(nodes = this.nodes): string[] {
    const violations: string[] = [];
    for (const { address, section } of nodes) {
      const indexes = new Map(section.items.map(([index, id]) => [id, index]));
      if (indexes.size !== section.items.length) {
        violations.push(`${address.id}: a command was applied twice`);
      }
      for (const [id, index] of this.acknowledged) {
        if (indexes.get(id) === index) continue;
        violations.push(`${address.id}: ${id} is missing at index ${index}`);
      }
    }
    return violations;
  }
}
