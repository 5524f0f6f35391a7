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
import { describeFailure } from "./corruption_error.ts";
import { isDiskError } from "./disk_error.ts";
import { probeDisk } from "./disk_probe.ts";
import { replicaFailed, replicaReopened } from "./events.ts";
import { ClusterBootstrap, type FounderAddress } from "./cluster_bootstrap.ts";
import { IdentityStore } from "./identity_store.ts";
import { LeaderHints } from "./leader_hints.ts";
import { changeReplicasMethod, helloMethod, joinMethod } from "./messages.ts";
import { leaderStatusMethod, leaveMethod, proposeMethod } from "./messages.ts";
import { statusMethod } from "./messages.ts";
import { Replica } from "./replica.ts";
import { ReplicaMembership } from "./replica_membership.ts";
import { SnapshotStore } from "./snapshot_store.ts";
import { DEFAULT_COMPACTION, type ICompactionPolicy } from "./state_machine.ts";
import type { IStorage } from "./storage.ts";
import { TermStore } from "./term_store.ts";
import { DEFAULT_TIMING, type IReplicationTiming } from "./timing.ts";
import type {
  AppendCommand,
  IBarrierOptions,
  IDeadlineOptions,
  ILeadership,
  IProposalScheduler,
  IReplicatedLog,
  IStateSection,
  IVoterPolicy,
  LogStatus,
} from "./types.ts";

/** Longest wait for a transfer of leadership when stopping, in milliseconds. */
const TRANSFER_TIMEOUT_MILLISECONDS = 2_000;

/** Interval between two probes of a disk that has failed, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 500;

/** Dependencies and settings of a `ReplicatedLog`. */
export interface IReplicatedLogOptions {
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly storage: IStorage;
  readonly clock: IClock;
  readonly events: IEventLog;
  /** Voters in the settings, which create the log. */
  readonly founders: () => readonly FounderAddress[];
  readonly start: "bootstrap" | "join";
  /** Makes the leader replace lost voters; without it, operators do. */
  readonly voterPolicy?: IVoterPolicy;
  readonly timing?: IReplicationTiming;
  readonly compaction?: ICompactionPolicy;
  /**
   * Says why a command must not be proposed now; undefined if it may be. Only
   * the leader asks; commands in the log are always applied.
   */
  readonly findObstacle?: (
    section: string,
    command: unknown,
  ) => string | undefined;
  /** Schedulers by section; other commands are appended as they arrive. */
  readonly schedulers?: Readonly<
    Record<string, (append: AppendCommand) => IProposalScheduler>
  >;
  /** Source of numbers from 0 up to 1 for election timeouts. */
  readonly random?: () => number;
}

/** Replicated durable log; one object for each data folder. */
export class ReplicatedLog implements IReplicatedLog {
  readonly #change = new Emitter<ILeadership>();
  readonly onLeadershipChange = this.#change.event;
  #self: FounderAddress;
  #sections: readonly IStateSection[];
  #options: IReplicatedLogOptions;
  #bootstrap: ClusterBootstrap | undefined;
  #replica: Replica | undefined;
  /** Set only where the leader replaces voters automatically. */
  #membership: ReplicaMembership | undefined;
  #running: Promise<void> | undefined;
  /** Set only where the leader replaces voters automatically. */
  #hints: LeaderHints | undefined;
  #schedulers = new Map<string, IProposalScheduler>();
  /** Whether this replica has led, and has told another one to take over. */
  #hasTransferred = false;
  /** Whether the replica has stopped until the disk works again. */
  #isReopening = false;
  #failure: string | undefined;
  #store = new DisposableStore();
  #stopping = new AbortController();

  constructor(
    self: FounderAddress,
    sections: readonly IStateSection[],
    options: IReplicatedLogOptions,
  ) {
    this.#self = self;
    this.#sections = sections;
    this.#options = options;
    if (options.voterPolicy) this.#hints = this.#store.add(this.#createHints());
    const { schedulers = {} } = options;
    for (const [section, create] of Object.entries(schedulers)) {
      const append: AppendCommand = (command, options) =>
        this.#append(section, command, options);
      this.#schedulers.set(section, create(append));
    }
    this.#registerHandlers();
  }

  /**
   * Opens the data folder and takes part in the log. If the disk refuses to
   * work, the folder is opened as soon as it does; if the folder cannot be
   * used, the replica stays stopped, and an event says why.
   */
  async start(): Promise<void> {
    try {
      await this.#open();
    } catch (error) {
      this.#handleFailure(error as Error);
    }
    this.#hints?.start();
  }

  get leadership(): ILeadership {
    const none = { term: 0, leader: undefined, isLeader: false };
    return this.#replica?.leadership ?? none;
  }

  get stateConfirmedAt(): Deadline | undefined {
    return this.#replica?.stateConfirmedAt;
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
    const obstacle = this.#options.findObstacle?.(section, parsed);
    if (obstacle !== undefined) return err(notRun("unavailable", obstacle));
    const scheduler = this.#schedulers.get(section);
    if (scheduler) return await scheduler.propose(parsed, options);
    return await leader.propose(section, parsed, options);
  }

  async barrier(options: IBarrierOptions): Promise<Result<void, Failure>> {
    const leader = this.#replica?.leader;
    return leader ? await leader.barrier(options) : err(this.#notLeader());
  }

  get failure(): string | undefined {
    return this.#failure;
  }

  status(): LogStatus {
    const isWaiting = this.#bootstrap !== undefined && !this.#isReopening;
    return this.#replica?.status() ?? {
      id: this.#self.id,
      role: isWaiting ? "learner" : "stopped",
      term: 0,
      firstIndex: 1,
      lastIndex: 0,
      commitIndex: 0,
      appliedIndex: 0,
      voters: [],
      learners: [],
    };
  }

  isMember(id: string): boolean {
    return this.#replica?.isMember(id) ?? false;
  }

  async transferLeadership(options: IDeadlineOptions): Promise<boolean> {
    const manager = this.#replica?.replicaSetManager;
    const isDone = await manager?.transferLeadership(options) ?? false;
    this.#hasTransferred ||= isDone;
    return isDone;
  }

  async leave(options: IDeadlineOptions): Promise<boolean> {
    const hasTransferred = this.#hasTransferred;
    const leaving = this.#membership?.leave({ ...options, hasTransferred });
    return await leaving ?? false;
  }

  async stop(): Promise<void> {
    const deadline = this.#options.clock.deadlineIn(
      TRANSFER_TIMEOUT_MILLISECONDS,
    );
    await this.transferLeadership({ deadline });
    this.#stopping.abort();
    await this.#running;
    await this.#replica?.stop();
    this.#store.dispose();
  }

  async #open(): Promise<void> {
    const { storage, rpc, clock, events, founders, start } = this.#options;
    const identities = new IdentityStore(storage);
    const self = this.#self;
    const identity = await identities.open(self.id);
    this.#bootstrap = new ClusterBootstrap(identity, {
      ...{ self, founders, start, identities, rpc, clock, events },
      announcedLeader: () => this.#hints?.leader,
    });
    if (identity.cluster !== undefined) await this.#openReplica();
    else this.#running = this.#joinOrBootstrap();
  }

  async #joinOrBootstrap(): Promise<void> {
    try {
      const identity = await this.#bootstrap?.run(this.#stopping.signal);
      if (identity?.cluster === undefined) return;
      if (!this.#stopping.signal.aborted) await this.#openReplica();
    } catch (error) {
      this.#handleFailure(error as Error);
    }
  }

  /** Opens the folder again after a disk error; gives up after any other. */
  #handleFailure(error: Error, failed?: Replica): void {
    if (!isDiskError(error)) return this.#reportFailure(error);
    if (!failed) {
      this.#options.events.emit(replicaFailed, { reason: error.message });
    }
    this.#replica = undefined;
    this.#isReopening = true;
    this.#running = this.#reopen(failed);
  }

  /** Opens the folder when the disk works again. */
  async #reopen(failed: Replica | undefined): Promise<void> {
    const { clock, events, storage } = this.#options;
    const { signal } = this.#stopping;
    const startedAt = clock.monotonic();
    await failed?.stop();
    while (!signal.aborted) {
      const next = clock.deadlineIn(PROBE_INTERVAL_MILLISECONDS);
      await clock.sleepUntil(next, signal);
      if (signal.aborted) return;
      try {
        await new SnapshotStore(storage).removeUnfinished();
        await probeDisk(storage);
        await failed?.discardUnsynced();
        await TermStore.rewrite(storage);
        await this.#open();
        this.#isReopening = false;
        const milliseconds = Math.round(clock.monotonic() - startedAt);
        return events.emit(replicaReopened, { milliseconds });
      } catch (error) {
        if (!isDiskError(error)) return this.#reportFailure(error as Error);
      }
    }
  }

  async #openReplica(): Promise<void> {
    const identity = this.#bootstrap?.identity;
    const { cluster, storage, founders } = identity ?? {};
    if (cluster === undefined || storage === undefined) return;
    const replica = await Replica.open(
      { ...this.#self, storage, promote: false },
      this.#sections,
      {
        cluster,
        founders: founders ?? [],
        storage: this.#options.storage,
        rpc: this.#options.rpc,
        server: this.#options.server,
        clock: this.#options.clock,
        events: this.#options.events,
        timing: this.#options.timing ?? DEFAULT_TIMING,
        compaction: this.#options.compaction ?? DEFAULT_COMPACTION,
        random: this.#options.random ?? Math.random,
        voterPolicy: this.#options.voterPolicy,
      },
    );
    replica.onLeadershipChange((leadership) => this.#change.fire(leadership));
    replica.onFailure((error) => {
      if (isDiskError(error)) this.#handleFailure(error, replica);
      else this.#failure = describeFailure(error);
    });
    this.#replica = replica;
    replica.start();
    if (!this.#options.voterPolicy) return;
    const { rpc, clock, events } = this.#options;
    const member = { ...this.#self, storage, promote: false };
    this.#membership = new ReplicaMembership(replica, member, {
      ...{ rpc, clock, events, founders: this.#options.founders },
      timing: this.#options.timing ?? DEFAULT_TIMING,
      announcedLeader: () => this.#hints?.leader,
    });
    const isCurrent = () => this.#replica === replica;
    void this.#membership.rejoinIfRemoved(isCurrent, this.#stopping.signal);
  }

  async #append(
    section: string,
    command: unknown,
    options: IDeadlineOptions,
  ): Promise<Result<unknown, Failure>> {
    const leader = this.#replica?.leader;
    if (!leader) return err(this.#notLeader());
    return await leader.propose(section, command, options);
  }

  #createHints(): LeaderHints {
    const { rpc, server, clock, founders, voterPolicy } = this.#options;
    return new LeaderHints({
      ...{ self: this.#self.id, rpc, server, clock },
      status: () => this.status(),
      recipients: () => [
        ...founders(),
        ...voterPolicy?.announcementRecipients?.() ?? [],
      ],
      isFollowing: (id) =>
        this.#replica?.leader?.contacts.isFollowedBy(id) ?? false,
    });
  }

  #reportFailure(error: Error): void {
    this.#bootstrap = undefined;
    this.#failure = describeFailure(error);
    this.#options.events.emit(replicaFailed, { reason: this.#failure });
  }

  #registerHandlers(): void {
    const { server } = this.#options;
    const add = (handler: IDisposable) => this.#store.add(handler);
    add(server.handle(proposeMethod, async (params, context) => {
      const { section, command } = params;
      const output = await this.propose(section, command, context);
      return output.map((output) => ({ output }));
    }));
    add(server.handle(statusMethod, () => {
      const status = this.status();
      return Promise.resolve(
        ok(this.#hints?.withAnnouncedLeader(status) ?? status),
      );
    }));
    add(server.handle(leaderStatusMethod, async (_, context) => {
      const barrier = await this.barrier(context);
      return barrier.map(() => this.status());
    }));
    add(server.handle(helloMethod, () => Promise.resolve(this.#hello())));
    add(server.handle(joinMethod, async ({ member }, context) => {
      const { replicaSetManager, cluster } = this.#replica ??
        {};
      if (!replicaSetManager || !cluster) return err(this.#notLeader());
      const joined = await replicaSetManager.join(member, context);
      return joined.map(() => ({ cluster }));
    }));
    add(server.handle(leaveMethod, async ({ storage }, context) => {
      const { replicaSetManager } = this.#replica ?? {};
      if (!replicaSetManager) return err(this.#notLeader());
      const left = await replicaSetManager.leave(storage, context);
      return left.map((isReplaced) => ({ isReplaced }));
    }));
    add(server.handle(changeReplicasMethod, async (change, context) => {
      const replicaSetManager = this.#replica?.replicaSetManager;
      if (!replicaSetManager) return err(this.#notLeader());
      return await replicaSetManager.change(change, context);
    }));
  }

  #hello() {
    const identity = this.#bootstrap?.identity;
    if (identity) return ok(identity);
    return err(notRun("unavailable", "the replica has not started"));
  }

  #notLeader(): Failure {
    const { leader } = this.leadership;
    return notRun("not-leader", `${this.#self.id} does not lead`, { leader });
  }
}
