import { type ClusterNode, LogCluster } from "./log_cluster.ts";

/** Duration of the phase with faults, in virtual time. */
const FAULT_PHASE_MILLISECONDS = 30_000;

const WORKERS = 4;

/** Time after which a planned stop that has begun is over. */
const LONGEST_STOP_MILLISECONDS = 7_000;

/** Result of a randomised run. */
export interface IRandomRunResult {
  readonly violations: string[];
  readonly acknowledged: number;
  readonly actions: Map<string, number>;
}

/** Proposes and reads under random faults, then repairs them and verifies. */
export class RandomRun {
  #cluster: LogCluster;
  #violations = new Set<string>();
  #actions = new Map<string, number>();
  #isOver = false;
  #wipedDisks = 0;

  private constructor(cluster: LogCluster) {
    this.#cluster = cluster;
  }

  /** @param spares replicas beyond the voters that the leader maintains. */
  static async run(
    voters: number,
    seed: number,
    spares = 0,
  ): Promise<IRandomRunResult> {
    const cluster = new LogCluster(voters, seed);
    if (spares > 0) {
      cluster.voterPolicy = { targetVoters: voters, isRetiring: () => false };
    }
    for (const node of cluster.nodes) void node.start();
    await cluster.untilLeader();
    for (let added = 0; added < spares; added++) await cluster.addSpare();
    const run = new RandomRun(cluster);
    cluster.network.lossPercent = 3;
    const workers = Array.from({ length: WORKERS }, () => run.#runWorker());
    await run.#injectFaults();
    await run.#repair();
    for (const worker of workers) await cluster.untilSettled(worker);
    await cluster.untilLeader();
    await cluster.commit(1);
    await cluster.untilEqual();
    const violations = [...run.#violations, ...cluster.findViolations()];
    const acknowledged = cluster.acknowledged.size;
    return { violations, acknowledged, actions: run.#actions };
  }

  async #runWorker(): Promise<void> {
    const { random, time, nodes } = this.#cluster;
    while (!this.#isOver) {
      const node = random.pick(nodes);
      if (node.isLeader && random.chance(20)) await this.#read(node);
      else if (node.isLeader) await this.#propose(node);
      const pause = random.integer(1, 40);
      await new Promise<void>((resolve) => {
        time.schedule(time.now + pause, resolve);
      });
    }
  }

  /** Proposes with a timeout: calls of a crashed process never settle. */
  async #propose(node: ClusterNode): Promise<void> {
    await Promise.race([this.#cluster.propose(node), this.#timeout()]);
  }

  async #read(node: ClusterNode): Promise<void> {
    const { acknowledged } = this.#cluster;
    const last = Math.max(0, ...acknowledged.values());
    const { clock, log, section } = node;
    const barrier = log.barrier({ deadline: clock.deadlineIn(500) }).then(
      (answer) => {
        if (answer.isErr() || clock.isEnded) return;
        const seen = section.items.at(-1)?.[0] ?? 0;
        if (seen < last) this.#violations.add(`stale read: ${seen} < ${last}`);
      },
    );
    await Promise.race([barrier, this.#timeout()]);
  }

  #timeout(): Promise<void> {
    const { time } = this.#cluster;
    return new Promise((resolve) => {
      time.schedule(time.now + 1_500, resolve);
    });
  }

  async #injectFaults(): Promise<void> {
    const { random, time } = this.#cluster;
    const end = time.now + FAULT_PHASE_MILLISECONDS;
    while (time.now < end) {
      await time.advance(random.integer(50, 700), () => this.#checkLeases());
      const action = this.#exceedsQuorum() || random.chance(15)
        ? random.integer(0, 9)
        : random.pick([3, 6, 10]);
      if (action <= 2) this.#crash();
      else if (action <= 4) this.#start();
      else if (action === 5) this.#isolate();
      else if (action === 6) this.#count("heal", this.#heal());
      else if (action === 7) this.#disturbDisk();
      else if (action === 8) this.#transfer();
      else if (action === 9) this.#wipeDisk();
      else this.#repairDisks();
    }
  }

  /** Whether more nodes are healthy than a quorum needs. */
  #exceedsQuorum(): boolean {
    const { nodes, network } = this.#cluster;
    const healthy = nodes.filter((node) =>
      node.isUp && !node.disk.isFailing &&
      node.log.status().role !== "stopped" &&
      !network.isolated.has(node.address.id)
    );
    return healthy.length > Math.floor(nodes.length / 2) + 1;
  }

  #repairDisks(): void {
    for (const node of this.#cluster.nodes) {
      node.disk.isFailing = false;
      node.disk.syncMilliseconds = 1;
      if (node.isUp && node.log.failure !== undefined) node.crash();
    }
  }

  async #repair(): Promise<void> {
    const { network, nodes, time } = this.#cluster;
    this.#heal();
    network.lossPercent = 0;
    this.#isOver = true;
    this.#repairDisks();
    if (this.#spares > 0) await time.advance(LONGEST_STOP_MILLISECONDS);
    for (const node of nodes) {
      if (!node.isUp) await this.#cluster.untilSettled(node.start());
    }
    await time.advanceUntil(
      "all nodes are members",
      () => this.#isComplete,
    );
  }

  #checkLeases(): void {
    const holders = this.#cluster.nodes.filter((node) => node.hasLease);
    if (holders.length < 2) return;
    this.#violations.add(
      `two nodes held a lease after ${this.#wipedDisks} disk losses`,
    );
  }

  #count(action: string, _done: unknown): void {
    this.#actions.set(action, (this.#actions.get(action) ?? 0) + 1);
  }

  #crash(): void {
    const node = this.#cluster.random.pick(this.#cluster.nodes);
    if (node.isUp) this.#count("crash", node.crash());
  }

  #start(): void {
    const node = this.#cluster.nodes.find((node) => !node.isUp);
    if (node) this.#count("start", node.start());
  }

  #isolate(): void {
    const { network, random, nodes } = this.#cluster;
    const { id } = random.pick(nodes).address;
    this.#count("isolate", network.isolated.add(id));
  }

  #heal(): void {
    this.#cluster.network.isolated.clear();
  }

  #disturbDisk(): void {
    const { disk } = this.#cluster.random.pick(this.#cluster.nodes);
    if (this.#cluster.random.chance(50)) disk.syncMilliseconds = 200;
    else disk.isFailing = !disk.isFailing;
    this.#count("disk", undefined);
  }

  #transfer(): void {
    const { leader, voterPolicy, random, nodes } = this.#cluster;
    if (voterPolicy && random.chance(80)) {
      const node = random.pick(nodes);
      if (node.isUp) this.#count("stop", node.stop());
      return;
    }
    if (!leader) return;
    const deadline = leader.clock.deadlineIn(300);
    this.#count("transfer", leader.log.transferLeadership({ deadline }));
  }

  /**
   * Wipes one disk, only while all nodes are healthy members: losing more than
   * a minority of the disks would lose acknowledged commands.
   */
  #wipeDisk(): void {
    const { nodes, random, leader, network } = this.#cluster;
    const areAllHealthy = nodes.every((node) =>
      node.isUp && !node.disk.isFailing
    );
    if (!leader || !areAllHealthy || network.isolated.size > 0) return;
    if (!this.#isComplete) return;
    const roles = nodes.map((node) => node.log.status().role);
    const learners = roles.filter((role) => role === "learner").length;
    if (learners !== this.#spares || roles.includes("stopped")) return;
    const node = random.pick(nodes);
    node.crash();
    node.wipeDisk();
    this.#wipedDisks += 1;
    this.#count("lose disk", node.start());
  }

  /** Whether the leader's members are all voters and all spares. */
  get #isComplete(): boolean {
    const { leader, nodes } = this.#cluster;
    if (!leader) return false;
    const { voters, learners } = leader.log.status();
    return voters.length === nodes.length - this.#spares &&
      learners.length === this.#spares;
  }

  get #spares(): number {
    const { nodes, voterPolicy } = this.#cluster;
    return voterPolicy ? nodes.length - voterPolicy.targetVoters : 0;
  }
}
