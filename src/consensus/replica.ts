import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  earlierDeadline,
  type Failure,
  type IClock,
  type IEvent,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import { LeaderElection } from "./leader_election.ts";
import { tailCut } from "./events.ts";
import { Follower } from "./follower.ts";
import { LeaderTerm } from "./leader_term.ts";
import { recoverLog } from "./log_recovery.ts";
import {
  appendMethod,
  type ReplicaMessageHeader,
  snapshotChunkMethod,
  takeOverMethod,
  voteMethod,
} from "./messages.ts";
import { ReplicaSetManager } from "./replica_set_manager.ts";
import { allMembers, type ReplicaMember } from "./replica_set.ts";
import { ReplicaState } from "./replica_state.ts";
import { ReplicaSetHistory } from "./replica_set_history.ts";
import { SnapshotReceiver } from "./snapshot_receiver.ts";
import { SnapshotSender } from "./snapshot_sender.ts";
import { SnapshotStore } from "./snapshot_store.ts";
import {
  type ICompactionPolicy,
  restoreSections,
  StateMachine,
} from "./state_machine.ts";
import type { IStorage } from "./storage.ts";
import { TermStore } from "./term_store.ts";
import type { IReplicationTiming } from "./timing.ts";
import type {
  ILeadership,
  IStateSection,
  IVoterPolicy,
  LogStatus,
} from "./types.ts";
import { WriteAheadLog } from "./write_ahead_log.ts";

/** Dependencies and settings of a `Replica`. */
export interface IReplicaOptions {
  readonly cluster: string;
  /** Voters before the first entry; empty if this replica joined later. */
  readonly founders: ReplicaMember[];
  readonly storage: IStorage;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly timing: IReplicationTiming;
  readonly compaction: ICompactionPolicy;
  readonly random: () => number;
  readonly voterPolicy?: IVoterPolicy;
}

/** Replica of a log that the data folder belongs to, with its tasks. */
export class Replica {
  readonly cluster: string;
  readonly machine: StateMachine;
  #state: ReplicaState;
  #options: IReplicaOptions;
  #election: LeaderElection;
  #follower: Follower;
  #receiver: SnapshotReceiver;
  #leader: LeaderTerm | undefined;
  #replicaSetManager: ReplicaSetManager | undefined;
  #store = new DisposableStore();
  #stopping = new AbortController();
  /** Ends when the state machine applies nothing more. */
  #applying: Promise<void> = Promise.resolve();

  private constructor(
    state: ReplicaState,
    machine: StateMachine,
    options: IReplicaOptions,
  ) {
    const { rpc, random, storage } = options;
    this.cluster = options.cluster;
    this.machine = machine;
    this.#state = state;
    this.#options = options;
    this.#election = new LeaderElection(state, rpc, { random });
    this.#follower = new Follower(state);
    this.#receiver = new SnapshotReceiver(state, {
      storage,
      store: new SnapshotStore(storage),
      follower: this.#follower,
      machine,
    });
    this.#registerHandlers();
    this.#store.add(state.onChange(() => this.#updateLeaderTerm()));
  }

  /**
   * Recovers the state of a data folder.
   *
   * @throws CorruptionError when the files are damaged in a way that no crash
   * can cause.
   */
  static async open(
    self: ReplicaMember,
    sections: readonly IStateSection[],
    options: IReplicaOptions,
  ): Promise<Replica> {
    const { storage, founders, compaction, events } = options;
    const store = new SnapshotStore(storage);
    const snapshot = await store.recover();
    const terms = await TermStore.open(storage);
    const { log, entries, truncatedBytes } = await recoverLog(
      new WriteAheadLog(storage),
      { snapshot, clock: options.clock },
    );
    if (truncatedBytes > 0) events.emit(tailCut, { bytes: truncatedBytes });
    const base = { voters: founders, learners: [] };
    const replicaSetHistory = new ReplicaSetHistory(
      snapshot?.index ?? 0,
      snapshot?.replicas ?? base,
    );
    replicaSetHistory.append([...entries]);
    await restoreSections(sections, snapshot);
    const commitIndex = snapshot?.index ?? 0;
    const stateOptions = {
      ...options,
      self,
      terms,
      log,
      replicaSetHistory,
      commitIndex,
    };
    const state = new ReplicaState(stateOptions);
    const machineOptions = { store, compaction, snapshot };
    const machine = new StateMachine(sections, state, machineOptions);
    return new Replica(state, machine, options);
  }

  /** Starts the tasks. */
  start(): void {
    this.#applying = this.machine.run();
    this.#supervise(this.#applying);
    this.#supervise(this.#election.run(this.#stopping.signal));
  }

  /** Current term as leader; undefined while this replica does not lead. */
  get leader(): LeaderTerm | undefined {
    return this.#leader;
  }

  /**
   * Time as of which the applied state includes all that is committed. It is
   * earlier than the leader's `confirmedAt` while committed entries wait to be
   * applied. Undefined while this replica does not lead.
   */
  get stateConfirmedAt(): Deadline | undefined {
    const confirmedAt = this.#leader?.confirmedAt;
    const { behindSince } = this.machine;
    if (confirmedAt === undefined || behindSince === undefined) {
      return confirmedAt;
    }
    return earlierDeadline(confirmedAt, behindSince);
  }

  get replicaSetManager(): ReplicaSetManager | undefined {
    return this.#replicaSetManager;
  }

  get leadership(): ILeadership {
    return this.#state.leadership;
  }

  /** Whether a leader was in contact within the shortest election timeout. */
  get hasRecentLeaderContact(): boolean {
    return this.#state.hasRecentLeaderContact;
  }

  /** Fires once, when the replica has stopped after a failure. */
  get onFailure(): IEvent<Error> {
    return this.#state.onFailure;
  }

  get onLeadershipChange(): IEvent<ILeadership> {
    return this.#state.onChange;
  }

  status(): LogStatus {
    const { self, role, term, leader, log, replicas } = this.#state;
    const isLearner = !this.#state.isVoter && role !== "stopped";
    return {
      id: self.id,
      role: isLearner ? "learner" : role,
      term,
      // A leader that has lost contact may no longer be the leader.
      leader: this.hasRecentLeaderContact ? leader : undefined,
      firstIndex: log.firstIndex,
      lastIndex: log.lastIndex,
      commitIndex: this.#state.commitIndex,
      appliedIndex: this.machine.appliedIndex,
      voters: replicas.voters,
      learners: replicas.learners,
    };
  }

  /** Whether an instance is a member before or after a pending change. */
  isMember(id: string): boolean {
    const { replicas, replicaSetHistory, commitIndex } = this.#state;
    const committed = replicaSetHistory.at(commitIndex);
    return [...allMembers(committed), ...allMembers(replicas)]
      .some((member) => member.id === id);
  }

  /** Stops after the writes in progress are finished. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#state.stop("the replica stops");
    this.machine.dispose();
    this.#store.dispose();
    await this.#applying.catch(() => {});
    await this.machine.waitForSnapshot();
    await this.#receiver.close();
    await this.#state.log.close();
    await this.#state.terms.close();
  }

  /** Removes what a failed write has left behind; the replica has stopped. */
  async discardUnsynced(): Promise<void> {
    await this.#state.log.discardUnsynced();
  }

  #updateLeaderTerm(): void {
    const { role, term } = this.#state;
    if (role === "leader" && this.#leader?.term === term) return;
    this.#leader?.dispose();
    this.#replicaSetManager?.dispose();
    this.#leader = undefined;
    this.#replicaSetManager = undefined;
    if (role !== "leader") return;
    const { rpc, storage } = this.#options;
    const leader = new LeaderTerm(this.#state, {
      rpc,
      machine: this.machine,
      snapshots: new SnapshotSender(this.#state, storage, { rpc }),
    });
    this.#leader = leader;
    this.#replicaSetManager = new ReplicaSetManager(this.#state, leader, {
      rpc,
      voterPolicy: this.#options.voterPolicy,
    });
    leader.start();
    this.#supervise(this.#replicaSetManager.run());
  }

  /** Stops the replica when a task fails, for example at an invariant. */
  #supervise(task: Promise<void>): void {
    task.catch((error) => this.#state.fail(error as Error));
  }

  #registerHandlers(): void {
    const { server } = this.#options;
    const add = this.#store.add.bind(this.#store);
    add(
      server.handle(
        voteMethod,
        (params) =>
          this.#guard(params, () => this.#election.handleVoteRequest(params)),
      ),
    );
    add(
      server.handle(
        appendMethod,
        (params) =>
          this.#guard(params, () => this.#follower.handleAppend(params)),
      ),
    );
    add(
      server.handle(
        snapshotChunkMethod,
        (params) => this.#guard(params, () => this.#receiver.receive(params)),
      ),
    );
    add(
      server.handle(
        takeOverMethod,
        (params) => this.#guard(params, () => this.#takeOver(params)),
      ),
    );
  }

  #takeOver(header: ReplicaMessageHeader): Promise<
    Result<{ accepted: boolean }, Failure>
  > {
    const accepted = header.term === this.#state.term && this.#state.isVoter;
    if (accepted) this.#supervise(this.#election.campaign({ transfer: true }));
    return Promise.resolve(ok({ accepted }));
  }

  /** Rejects messages for other replicas; an exception stops this replica. */
  async #guard<T>(
    header: ReplicaMessageHeader,
    action: () => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    if (this.#state.role === "stopped") {
      return err(notRun("storage-error", "the replica is stopped"));
    }
    if (!this.#state.isForThisReplica(header)) {
      return err(
        notRun("conflict", "the call is addressed to another data folder"),
      );
    }
    try {
      return await action();
    } catch (error) {
      this.#state.fail(error as Error);
      return err(mayHaveRun("internal", (error as Error).message));
    }
  }
}
