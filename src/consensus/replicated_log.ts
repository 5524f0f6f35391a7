import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  Emitter,
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import { joinedAgain, replicaFailed } from "./events.ts";
import { Formation, type FounderAddress } from "./formation.ts";
import { IdentityStore } from "./identity_store.ts";
import { LeadNews } from "./lead_news.ts";
import { LeaderFinder } from "./leader_finder.ts";
import { changeReplicasMethod, helloMethod, joinMethod } from "./messages.ts";
import { leaderStatusMethod, proposeMethod } from "./messages.ts";
import { statusMethod } from "./messages.ts";
import { Replica } from "./replica.ts";
import { DEFAULT_COMPACTION, type ICompaction } from "./state_machine.ts";
import type { IStorage } from "./storage.ts";
import { DEFAULT_TIMING, type ITiming } from "./timing.ts";
import type {
  IBarrierOptions,
  IDeadlineOptions,
  ILeadership,
  IReplicatedLog,
  IStateSection,
  IVoterUpkeep,
  LogStatus,
} from "./types.ts";

/** Pause between two reviews of the own membership, in milliseconds. */
const REVIEW_MILLISECONDS = 1_000;

/** Time for the lead to be handed over when stopping, in milliseconds. */
const HAND_OVER_MILLISECONDS = 2_000;

/** Collaborators and settings of a `ReplicatedLog`. */
export interface IReplicatedLogParts {
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly storage: IStorage;
  readonly clock: IClock;
  readonly events: IEventLog;
  /** Voters of the settings, which found the log. */
  readonly founders: () => readonly FounderAddress[];
  readonly start: "bootstrap" | "join";
  /** Makes the leader replace lost voters; without it, operators do. */
  readonly upkeep?: IVoterUpkeep;
  readonly timing?: ITiming;
  readonly compaction?: ICompaction;
  /** Source of numbers from 0 up to 1 for election timeouts. */
  readonly random?: () => number;
}

/** Replicated durable log; one instance for each data folder. */
export class ReplicatedLog implements IReplicatedLog {
  readonly #change = new Emitter<ILeadership>();
  readonly onLeadershipChange = this.#change.event;
  #self: FounderAddress;
  #sections: readonly IStateSection[];
  #parts: IReplicatedLogParts;
  #formation: Formation | undefined;
  #replica: Replica | undefined;
  #running: Promise<void> | undefined;
  /** Only where the leader keeps the members by itself. */
  #news: LeadNews | undefined;
  #store = new DisposableStore();
  #stopping = new AbortController();

  constructor(
    self: FounderAddress,
    sections: readonly IStateSection[],
    parts: IReplicatedLogParts,
  ) {
    this.#self = self;
    this.#sections = sections;
    this.#parts = parts;
    if (parts.upkeep) this.#news = this.#store.add(this.#createNews());
    this.#handleCalls();
  }

  /**
   * Opens the data folder and takes part from then on. A folder that is
   * refused leaves the replica stopped, with an event that says why.
   */
  async start(): Promise<void> {
    const { storage, rpc, clock, events, founders, start } = this.#parts;
    const identities = new IdentityStore(storage);
    const self = this.#self;
    try {
      const identity = await identities.open(self.id);
      this.#formation = new Formation(identity, {
        ...{ self, founders, start, identities, rpc, clock, events },
        heardLeader: () => this.#news?.leader,
      });
      if (identity.cluster !== undefined) await this.#openReplica();
      else this.#running = this.#form();
      this.#news?.start();
    } catch (error) {
      this.#refuse(error as Error);
    }
  }

  get leadership(): ILeadership {
    const none = { term: 0, leader: undefined, isLeader: false };
    return this.#replica?.leadership ?? none;
  }

  get leaseUntil(): Deadline | undefined {
    return this.#replica?.leader?.leaseUntil;
  }

  async propose(
    section: string,
    command: unknown,
    options: IDeadlineOptions,
  ): Promise<Result<unknown, Failure>> {
    const leader = this.#replica?.leader;
    if (!this.#replica || !leader) return err(this.#notLeader());
    const parsed = this.#replica.machine.parse(section, command);
    if (parsed === undefined) {
      return err(notRun("bad-request", `no such command in ${section}`));
    }
    return await leader.propose(section, parsed, options);
  }

  async barrier(options: IBarrierOptions): Promise<Result<void, Failure>> {
    const leader = this.#replica?.leader;
    return leader ? await leader.barrier(options) : err(this.#notLeader());
  }

  status(): LogStatus {
    return this.#replica?.status() ?? {
      id: this.#self.id,
      role: this.#formation ? "learner" : "stopped",
      term: 0,
      firstIndex: 1,
      lastIndex: 0,
      commitIndex: 0,
      appliedIndex: 0,
      voters: [],
      learners: [],
    };
  }

  async transferLeadership(options: IDeadlineOptions): Promise<boolean> {
    return await this.#replica?.leader?.transfer(undefined, options) ?? false;
  }

  async stop(): Promise<void> {
    const deadline = this.#parts.clock.deadlineIn(HAND_OVER_MILLISECONDS);
    await this.transferLeadership({ deadline });
    this.#stopping.abort();
    await this.#running;
    await this.#replica?.stop();
    this.#store.dispose();
  }

  async #form(): Promise<void> {
    try {
      const identity = await this.#formation?.run(this.#stopping.signal);
      if (identity?.cluster === undefined) return;
      if (!this.#stopping.signal.aborted) await this.#openReplica();
    } catch (error) {
      this.#refuse(error as Error);
    }
  }

  async #openReplica(): Promise<void> {
    const identity = this.#formation?.identity;
    const { cluster, storage, founders } = identity ?? {};
    if (cluster === undefined || storage === undefined) return;
    const replica = await Replica.open(
      { ...this.#self, storage, promote: false },
      this.#sections,
      {
        cluster,
        founders: founders ?? [],
        storage: this.#parts.storage,
        rpc: this.#parts.rpc,
        server: this.#parts.server,
        clock: this.#parts.clock,
        events: this.#parts.events,
        timing: this.#parts.timing ?? DEFAULT_TIMING,
        compaction: this.#parts.compaction ?? DEFAULT_COMPACTION,
        random: this.#parts.random ?? Math.random,
        upkeep: this.#parts.upkeep,
      },
    );
    replica.onLeadershipChange((leadership) => this.#change.fire(leadership));
    this.#replica = replica;
    replica.start();
    if (this.#parts.upkeep) void this.#keepMembership(replica, storage);
  }

  /** Asks to join again when the others have gone on without this replica. */
  async #keepMembership(replica: Replica, storage: string): Promise<void> {
    const { rpc, clock, founders } = this.#parts;
    const { signal } = this.#stopping;
    const finder = new LeaderFinder(founders, rpc, { clock });
    while (!signal.aborted) {
      await clock.sleepUntil(clock.deadlineIn(REVIEW_MILLISECONDS), signal);
      if (signal.aborted || replica.isLeaderRecent) continue;
      const options = { deadline: clock.deadlineIn(REVIEW_MILLISECONDS) };
      const leader = await finder.find(options) ?? this.#news?.leader;
      if (!leader || leader.id === this.#self.id) continue;
      const status = await rpc.call(leader, leaderStatusMethod, {}, options);
      if (status.isErr()) continue;
      const { voters, learners } = status.value;
      const members = [...voters, ...learners];
      if (members.some((member) => member.storage === storage)) continue;
      const member = { ...this.#self, storage, promote: false };
      const joined = await rpc.call(leader, joinMethod, { member }, options);
      if (joined.isOk()) this.#parts.events.emit(joinedAgain, { storage });
    }
  }

  #createNews(): LeadNews {
    const { rpc, server, clock, founders, upkeep } = this.#parts;
    return new LeadNews({
      ...{ self: this.#self.id, rpc, server, clock },
      status: () => this.status(),
      audience: () => [...founders(), ...upkeep?.audience?.() ?? []],
      isFollowing: (id) => this.#replica?.leader?.isFollowedBy(id) ?? false,
    });
  }

  #refuse(error: Error): void {
    this.#formation = undefined;
    this.#parts.events.emit(replicaFailed, { reason: error.message });
  }

  #handleCalls(): void {
    const { server } = this.#parts;
    const add = (handler: IDisposable) => this.#store.add(handler);
    add(server.handle(proposeMethod, async (params, context) => {
      const { section, command } = params;
      const output = await this.propose(section, command, context);
      return output.map((output) => ({ output }));
    }));
    add(server.handle(statusMethod, () => {
      const status = this.status();
      return Promise.resolve(ok(this.#news?.complete(status) ?? status));
    }));
    add(server.handle(leaderStatusMethod, async (_, context) => {
      const barrier = await this.barrier(context);
      return barrier.map(() => this.status());
    }));
    add(server.handle(helloMethod, () => Promise.resolve(this.#hello())));
    add(server.handle(joinMethod, async ({ member }, context) => {
      const { administrator, cluster } = this.#replica ?? {};
      if (!administrator || !cluster) return err(this.#notLeader());
      const joined = await administrator.join(member, context);
      return joined.map(() => ({ cluster }));
    }));
    add(server.handle(changeReplicasMethod, async (order, context) => {
      const administrator = this.#replica?.administrator;
      if (!administrator) return err(this.#notLeader());
      return await administrator.change(order, context);
    }));
  }

  #hello() {
    const identity = this.#formation?.identity;
    if (identity) return ok(identity);
    return err(notRun("unavailable", "the replica has not started"));
  }

  #notLeader(): Failure {
    const { leader } = this.leadership;
    return notRun("not-leader", `${this.#self.id} does not lead`, { leader });
  }
}
