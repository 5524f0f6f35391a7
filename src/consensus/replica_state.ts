import {
  type Deadline,
  Emitter,
  type IClock,
  invariant,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { Entry } from "./entry.ts";
import { leadershipLost, otherLog, replicaFailed, syncSlow } from "./events.ts";
import type { ILogPosition, LogStore } from "./log_store.ts";
import type { ReplicaHead } from "./messages.ts";
import { isVoter, type ReplicaMember, type ReplicaSet } from "./replica_set.ts";
import type { ReplicaTracker } from "./replica_tracker.ts";
import type { TermStore } from "./term_store.ts";
import type { ITiming } from "./timing.ts";
import type { ILeadership } from "./types.ts";

/** Part of a replica in the protocol. */
export type ReplicaRole = "follower" | "candidate" | "leader" | "stopped";

/** Collaborators of a `ReplicaState`. */
export interface IReplicaParts {
  readonly self: ReplicaMember;
  readonly cluster: string;
  readonly terms: TermStore;
  readonly log: LogStore;
  readonly tracker: ReplicaTracker;
  readonly commitIndex: number;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly timing: ITiming;
}

/** What the tasks of one replica share. */
export class ReplicaState {
  readonly self: ReplicaMember;
  readonly cluster: string;
  readonly terms: TermStore;
  readonly log: LogStore;
  readonly tracker: ReplicaTracker;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly timing: ITiming;
  readonly #change = new Emitter<ILeadership>();
  readonly #commit = new Emitter<number>();
  /** Fires when the role, the term or the known leader changes. */
  readonly onChange = this.#change.event;
  /** Fires with the new commit index. */
  readonly onCommit = this.#commit.event;
  #role: ReplicaRole = "follower";
  #leader: string | undefined;
  #leaderStorage: string | undefined;
  #leaderTerm = 0;
  #commitIndex: number;
  #heardAt: Deadline;

  constructor(parts: IReplicaParts) {
    this.self = parts.self;
    this.cluster = parts.cluster;
    this.terms = parts.terms;
    this.log = parts.log;
    this.tracker = parts.tracker;
    this.clock = parts.clock;
    this.events = parts.events;
    this.timing = parts.timing;
    this.#commitIndex = parts.commitIndex;
    // What a restarted replica promised to a leader before is unknown.
    this.#heardAt = parts.terms.term === 0
      ? Number.NEGATIVE_INFINITY as Deadline
      : parts.clock.monotonic();
    parts.log.onFailure((error) => this.fail(error));
    parts.log.onSlowWrite((milliseconds) =>
      this.events.emit(syncSlow, { milliseconds: Math.round(milliseconds) })
    );
    parts.terms.onFailure((error) => this.fail(error));
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

  /** Members by the latest entry of the log. */
  get replicas(): ReplicaSet {
    return this.tracker.latest;
  }

  /** Whether this replica votes by the latest entry of its log. */
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

  /** Point at which a leader was last heard of. */
  get heardAt(): Deadline {
    return this.#heardAt;
  }

  /** Whether a leader was heard of so lately that it may hold a lease. */
  get isLeaderRecent(): boolean {
    if (this.#role === "leader") return true;
    const silence = this.clock.monotonic() - this.#heardAt;
    return silence < this.timing.electionMinimum;
  }

  /** Whether a message is for this replica of this log. */
  isAddressed(head: ReplicaHead): boolean {
    if (head.cluster !== this.cluster) {
      const { cluster, from } = head;
      this.events.emit(otherLog, { from, cluster });
      return false;
    }
    return head.to === this.self.storage;
  }

  /** Enters a term seen in a message if it is later. */
  observeTerm(term: number): void {
    if (term <= this.term || this.#role === "stopped") return;
    this.terms.enter(term);
    this.#setRole("follower", `term ${term} has begun`);
  }

  /** Enters the next term as a candidate that votes for itself. */
  stand(): void {
    this.terms.enter(this.term + 1, this.self.storage);
    this.#setRole("candidate", "stands for election");
  }

  /** Takes the lead after a quorum voted for this replica. */
  lead(): void {
    invariant(this.#role === "candidate", "only a candidate is elected");
    this.#role = "leader";
    this.#leader = this.self.id;
    this.#noteLeader(this.self.storage);
    this.#change.fire(this.leadership);
  }

  /** Follows the leader of the present term. */
  follow(leader: string, storage: string): void {
    this.#noteLeader(storage);
    this.#heardAt = this.clock.monotonic();
    if (this.#leader === leader && this.#role === "follower") return;
    this.#leader = leader;
    this.#role = "follower";
    this.#change.fire(this.leadership);
  }

  /** Gives up leading or standing in the present term. */
  stepDown(reason: string): void {
    if (this.#role === "stopped") return;
    this.#setRole("follower", reason);
  }

  /** Leaves the quorum for good; the daemon has to be started again. */
  fail(error: Error): void {
    if (this.#role === "stopped") return;
    this.events.emit(replicaFailed, { reason: error.message });
    this.stop("replica failed");
    this.log.fail(error);
  }

  /** Ends taking part. */
  stop(reason: string): void {
    this.#setRole("stopped", reason);
  }

  /** Appends entries and takes in the members that they name. */
  append(entries: readonly Entry[]): Promise<void> {
    const first = entries[0]?.index ?? Number.POSITIVE_INFINITY;
    invariant(first > this.#commitIndex, "committed entries never change");
    const durable = this.log.append(entries);
    this.tracker.append(entries);
    return durable;
  }

  /** Raises the commit index. */
  commit(index: number): void {
    if (index <= this.#commitIndex || this.#role === "stopped") return;
    invariant(index <= this.log.lastIndex, "only known entries commit");
    this.#commitIndex = index;
    this.#commit.fire(index);
  }

  /** Continues after an installed snapshot. */
  async restartAfter(
    position: ILogPosition,
    replicas: ReplicaSet,
  ): Promise<void> {
    invariant(position.index > this.#commitIndex, "the commit index rises");
    this.#commitIndex = position.index;
    this.tracker.restart(position.index, replicas);
    await this.log.restartAfter(position);
  }

  #noteLeader(storage: string): void {
    invariant(
      this.#leaderTerm < this.term || this.#leaderStorage === storage,
      `one leader in term ${this.term}`,
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
