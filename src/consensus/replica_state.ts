import {
  type Deadline,
  Emitter,
  type IClock,
  invariant,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { describeFailure } from "./corruption_error.ts";
import type { Entry } from "./entry.ts";
import { leadershipLost, otherLog, replicaFailed, syncSlow } from "./events.ts";
import type { ILogPosition, LogStore } from "./log_store.ts";
import type { ReplicaMessageHeader } from "./messages.ts";
import { isVoter, type ReplicaMember, type ReplicaSet } from "./replica_set.ts";
import type { ReplicaSetHistory } from "./replica_set_history.ts";
import type { TermStore } from "./term_store.ts";
import type { IReplicationTiming } from "./timing.ts";
import type { ILeadership } from "./types.ts";

/** Role of a replica in the protocol. */
export type ReplicaRole = "follower" | "candidate" | "leader" | "stopped";

/** Dependencies and initial values of a `ReplicaState`. */
export interface IReplicaStateOptions {
  readonly self: ReplicaMember;
  readonly cluster: string;
  readonly terms: TermStore;
  readonly log: LogStore;
  readonly replicaSetHistory: ReplicaSetHistory;
  readonly commitIndex: number;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly timing: IReplicationTiming;
}

/** State of the protocol, which the tasks of one replica share. */
export class ReplicaState {
  readonly self: ReplicaMember;
  readonly cluster: string;
  readonly terms: TermStore;
  readonly log: LogStore;
  readonly replicaSetHistory: ReplicaSetHistory;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly timing: IReplicationTiming;
  readonly #change = new Emitter<ILeadership>();
  readonly #commit = new Emitter<number>();
  readonly #failure = new Emitter<Error>();
  /** Fires when the role, the term or the known leader changes. */
  readonly onChange = this.#change.event;
  /** Fires with the new commit index. */
  readonly onCommit = this.#commit.event;
  /** Fires once, when the replica has stopped after a failure. */
  readonly onFailure = this.#failure.event;
  #role: ReplicaRole = "follower";
  #leader: string | undefined;
  #leaderStorage: string | undefined;
  #leaderTerm = 0;
  #precedingLeader: { storage: string; contactAt: number } | undefined;
  #commitIndex: number;
  #leaderContactAt: Deadline;

  constructor(options: IReplicaStateOptions) {
    this.self = options.self;
    this.cluster = options.cluster;
    this.terms = options.terms;
    this.log = options.log;
    this.replicaSetHistory = options.replicaSetHistory;
    this.clock = options.clock;
    this.events = options.events;
    this.timing = options.timing;
    this.#commitIndex = options.commitIndex;
    // Before a restart, this replica may have extended a leader's lease; it
    // grants no votes until that lease must have expired.
    this.#leaderContactAt = options.terms.term === 0
      ? Number.NEGATIVE_INFINITY as Deadline
      : options.clock.monotonic();
    options.log.onFailure((error) => this.fail(error));
    options.log.onSlowWrite((milliseconds) =>
      this.events.emit(syncSlow, { milliseconds: Math.round(milliseconds) })
    );
    options.terms.onFailure((error) => this.fail(error));
  }

  get role(): ReplicaRole {
    return this.#role;
  }

  get term(): number {
    return this.terms.term;
  }

  /** Identifier of the leading instance, if known. */
  get leader(): string | undefined {
    return this.#leader;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Members according to the latest entry of the log. */
  get replicas(): ReplicaSet {
    return this.replicaSetHistory.latest;
  }

  /** Whether this replica is a voter according to the latest entry. */
  get isVoter(): boolean {
    return isVoter(this.replicas, this.self.storage);
  }

  get leadership(): ILeadership {
    return {
      term: this.term,
      leader: this.#leader,
      isLeader: this.#role === "leader",
    };
  }

  /** Time at which the last message of a leader arrived. */
  get leaderContactAt(): Deadline {
    return this.#leaderContactAt;
  }

  /**
   * While this replica leads: the leader that it followed before, with the time
   * of the last message from it.
   */
  get precedingLeader(): { storage: string; contactAt: number } | undefined {
    return this.#precedingLeader;
  }

  /** Whether a leader was in contact so recently that it may hold a lease. */
  get hasRecentLeaderContact(): boolean {
    if (this.#role === "leader") return true;
    const sinceContact = this.clock.monotonic() - this.#leaderContactAt;
    return sinceContact < this.timing.minimumElectionTimeout;
  }

  /** Whether a message is addressed to this replica of this log. */
  isForThisReplica(header: ReplicaMessageHeader): boolean {
    if (header.cluster !== this.cluster) {
      const { cluster, from } = header;
      this.events.emit(otherLog, { from, cluster });
      return false;
    }
    return header.to === this.self.storage;
  }

  /** Enters a term seen in a message if it is later. */
  observeTerm(term: number): void {
    if (term <= this.term || this.#role === "stopped") return;
    this.terms.enter(term);
    this.#setRole("follower", `term ${term} has begun`);
  }

  /** Enters the next term as a candidate that votes for itself. */
  becomeCandidate(): void {
    this.terms.enter(this.term + 1, this.self.storage);
    this.#setRole("candidate", "starts an election");
  }

  /** Becomes leader after a quorum has voted for this replica. */
  becomeLeader(): void {
    invariant(this.#role === "candidate", "only a candidate is elected");
    this.#role = "leader";
    this.#leader = this.self.id;
    this.#precedingLeader = this.#leaderStorage === undefined
      ? undefined
      : { storage: this.#leaderStorage, contactAt: this.#leaderContactAt };
    this.#recordLeader(this.self.storage);
    this.#change.fire(this.leadership);
  }

  /** Follows the leader of the current term. */
  followLeader(leader: string, storage: string): void {
    this.#recordLeader(storage);
    this.#leaderContactAt = this.clock.monotonic();
    if (this.#leader === leader && this.#role === "follower") return;
    this.#leader = leader;
    this.#role = "follower";
    this.#change.fire(this.leadership);
  }

  /** Stops being leader or candidate in the current term. */
  stepDown(reason: string): void {
    if (this.#role === "stopped") return;
    this.#setRole("follower", reason);
  }

  /** Stops the replica after a failure. */
  fail(error: Error): void {
    if (this.#role === "stopped") return;
    this.events.emit(replicaFailed, { reason: describeFailure(error) });
    this.stop("replica failed");
    this.log.fail(error);
    this.#failure.fire(error);
  }

  /** Stops taking part in the protocol. */
  stop(reason: string): void {
    this.#setRole("stopped", reason);
  }

  /** Appends entries and applies the changes of the members in them. */
  append(entries: readonly Entry[]): Promise<void> {
    const first = entries[0]?.index ?? Number.POSITIVE_INFINITY;
    invariant(first > this.#commitIndex, "committed entries never change");
    const durable = this.log.append(entries);
    this.replicaSetHistory.append(entries.map(({ index, body }) => ({
      index,
      replicas: body.kind === "replicas" ? body.replicas : undefined,
    })));
    return durable;
  }

  /** Raises the commit index. */
  commit(index: number): void {
    if (index <= this.#commitIndex || this.#role === "stopped") return;
    invariant(
      index <= this.log.lastIndex,
      "only entries in the log are committed",
    );
    this.#commitIndex = index;
    this.#commit.fire(index);
  }

  /** Continues after an installed snapshot. */
  async restartAfter(
    position: ILogPosition,
    replicas: ReplicaSet,
  ): Promise<void> {
    invariant(
      position.index > this.#commitIndex,
      "the commit index only increases",
    );
    this.#commitIndex = position.index;
    this.replicaSetHistory.reset(position.index, replicas);
    await this.log.restartAfter(position);
  }

  #recordLeader(storage: string): void {
    invariant(
      this.#leaderTerm < this.term || this.#leaderStorage === storage,
      `at most one leader in term ${this.term}`,
    );
    this.#leaderTerm = this.term;
    this.#leaderStorage = storage;
  }

  #setRole(role: ReplicaRole, reason: string): void {
    const wasLeader = this.#role === "leader";
    if (wasLeader) {
      this.events.emit(leadershipLost, { term: this.term, reason });
    }
    this.#role = role;
    this.#leader = undefined;
    this.#change.fire(this.leadership);
  }
}
