import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type Failure,
  type IDisposable,
  invariant,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IRpcClient } from "../rpc/mod.ts";
import type { EntryBody } from "./entry.ts";
import { takeOverMethod } from "./messages.ts";
import { PeerContacts } from "./peer_contacts.ts";
import { PeerReplicator } from "./peer_replicator.ts";
import {
  allMembers,
  quorumValue,
  type ReplicaMember,
  type ReplicaSet,
} from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";
import { ConditionVariable } from "./condition_variable.ts";
import type { IAppliedEntry, StateMachine } from "./state_machine.ts";
import { CLOCK_DRIFT_BOUND } from "./timing.ts";
import type {
  IBarrierOptions,
  IDeadlineOptions,
  ISnapshotSender,
} from "./types.ts";

/** Largest number of proposals that wait for their commit. */
const MAXIMUM_PENDING_PROPOSALS = 4_096;

/** Largest encoded size of entries that wait for commit, in characters. */
const MAXIMUM_PENDING_CHARACTERS = 16 * 1024 * 1024;

/** Seconds after which a rejected proposal may be retried. */
const RETRY_AFTER_SECONDS = 1;

type ProposalResult = Result<unknown, Failure>;

/** Dependencies of a `LeaderTerm`. */
export interface ILeaderTermOptions {
  readonly rpc: IRpcClient;
  readonly machine: StateMachine;
  readonly snapshots: ISnapshotSender;
}

/** Leader's side of the protocol, for one term that this replica leads. */
export class LeaderTerm implements IDisposable {
  readonly term: number;
  #state: ReplicaState;
  #options: ILeaderTermOptions;
  #startedAt: Deadline;
  #firstIndex = 0;
  #peers = new Map<string, PeerReplicator>();
  /** What is known of the other members from their answers. */
  readonly contacts: PeerContacts;
  #proposals = new Map<number, (result: ProposalResult) => void>();
  #pendingCharacters = 0;
  #progress = new ConditionVariable();
  #store = new DisposableStore();
  #stopping = new AbortController();
  #transferring = false;

  constructor(state: ReplicaState, options: ILeaderTermOptions) {
    this.#state = state;
    this.#options = options;
    this.term = state.term;
    this.contacts = new PeerContacts(state, this.#peers);
    this.#startedAt = state.clock.monotonic();
  }

  /** Appends an entry of this term; its commit commits all earlier entries. */
  start(): void {
    this.#store.add(this.#state.log.onSynced(() => this.#advanceCommitIndex()));
    this.#store.add(
      this.#options.machine.onApplied((applied) =>
        this.#resolveProposal(applied)
      ),
    );
    this.#firstIndex = this.#state.log.lastIndex + 1;
    this.#append({ kind: "replicas", replicas: this.#state.replicas });
    void this.#checkQuorum();
  }

  /** Commits and applies a command, and resolves with its output. */
  propose(
    section: string,
    command: unknown,
    options: IDeadlineOptions,
  ): Promise<ProposalResult> {
    const rejection = this.#proposalRejection(options);
    if (rejection) return Promise.resolve(err(rejection));
    return this.#commit({ kind: "command", section, command }, options);
  }

  /** Commits a change of the members; fails while another one is pending. */
  async changeReplicas(
    replicas: ReplicaSet,
    options: IDeadlineOptions,
  ): Promise<Result<ReplicaSet, Failure>> {
    const rejection = this.#proposalRejection(options) ??
      this.#replicaSetChangeRejection();
    if (rejection) return err(rejection);
    const result = await this.#commit({ kind: "replicas", replicas }, options);
    return result.map(() => replicas);
  }

  /** Confirms leadership and waits until all committed entries are applied. */
  async barrier(options: IBarrierOptions): Promise<Result<void, Failure>> {
    const { clock } = this.#state;
    const mayUseLease = options.requiresQuorum !== true;
    const askedAt = clock.monotonic();
    const needed = Math.max(this.#state.commitIndex, this.#firstIndex);
    const isLeased = () => mayUseLease && this.#hasLease;
    if (!isLeased()) this.#peers.forEach((peer) => peer.sendHeartbeatNow());
    while (!this.#stopping.signal.aborted) {
      const confirmed = isLeased() || this.quorumContactAt >= askedAt;
      if (confirmed && this.#options.machine.appliedIndex >= needed) {
        return ok(undefined);
      }
      if (clock.isPast(options.deadline)) {
        return err(notRun("unavailable", "no quorum confirmed the leader", {
          retryAfterSeconds: RETRY_AFTER_SECONDS,
        }));
      }
      await this.#wait(options.deadline);
    }
    return err(notRun("not-leader", "another replica leads"));
  }

  /** Time at which a quorum was last in contact with this leader. */
  get quorumContactAt(): number {
    const { clock, self, replicas } = this.#state;
    return quorumValue(
      replicas,
      ({ storage }) =>
        storage === self.storage
          ? clock.monotonic()
          : this.contacts.contactAt(storage) ?? Number.NEGATIVE_INFINITY,
    );
  }

  /** Time until which no other replica can have become leader. */
  get confirmedAt(): Deadline | undefined {
    if (this.#transferring || this.#stopping.signal.aborted) return undefined;
    return this.quorumContactAt as Deadline;
  }

  /** End of the lease; until then no other replica can become leader. */
  get leaseUntil(): Deadline | undefined {
    const { confirmedAt } = this;
    const { minimumElectionTimeout } = this.#state.timing;
    const length = minimumElectionTimeout * (1 - CLOCK_DRIFT_BOUND);
    return confirmedAt === undefined
      ? undefined
      : confirmedAt + length as Deadline;
  }

  /** Whether the first entry of the term is committed. */
  get isEstablished(): boolean {
    return this.#state.commitIndex >= this.#firstIndex;
  }

  /** Transfers leadership to another voter. */
  async transfer(
    target: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<boolean> {
    const peer = this.#peers.get(target.storage);
    if (!peer || this.#transferring) return false;
    const { log } = this.#state;
    this.#transferring = true;
    while (peer.matchIndex < log.lastIndex && !this.#isTransferOver(options)) {
      await this.#wait(options.deadline);
    }
    if (this.#isTransferOver(options)) {
      this.#transferring = false;
      return false;
    }
    const { cluster, self } = this.#state;
    const header = { cluster, to: peer.peer.storage, from: self.storage };
    const answer = await this.#options.rpc.call(
      peer.peer,
      takeOverMethod,
      { ...header, term: this.term },
      options,
    );
    if (answer.isErr() && answer.error.verdict === "not-run") {
      this.#transferring = false;
      return false;
    }
    while (!this.#isTransferOver(options)) {
      await this.#wait(options.deadline);
    }
    if (this.#stopping.signal.aborted) return true;
    // Votes for the target may still arrive, so this leader has lost its lease.
    this.#state.stepDown("the target of the transfer did not take over");
    return false;
  }

  dispose(): void {
    this.#stopping.abort();
    this.#store.dispose();
    this.#peers.forEach((peer) => peer.dispose());
    this.#progress.notify();
    for (const resolve of [...this.#proposals.values()]) {
      resolve(err(mayHaveRun("unavailable", "the leader changed", {
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      })));
    }
  }

  get #hasLease(): boolean {
    const { leaseUntil } = this;
    return leaseUntil !== undefined && !this.#state.clock.isPast(leaseUntil);
  }

  #isTransferOver(options: IDeadlineOptions): boolean {
    const { signal } = this.#stopping;
    return signal.aborted || this.#state.clock.isPast(options.deadline);
  }

  async #wait(deadline: Deadline): Promise<void> {
    const { clock } = this.#state;
    const timer = new AbortController();
    const timeout = clock.sleepUntil(deadline, timer.signal);
    await Promise.race([this.#progress.wait(), timeout]);
    timer.abort();
  }

  #proposalRejection(options: IDeadlineOptions): Failure | undefined {
    const { clock } = this.#state;
    if (this.#stopping.signal.aborted || this.#transferring) {
      return notRun("not-leader", "the leader is changing");
    }
    if (clock.isPast(options.deadline)) {
      return notRun("deadline-exceeded", "deadline passed before the proposal");
    }
    if (
      this.#proposals.size < MAXIMUM_PENDING_PROPOSALS &&
      this.#pendingCharacters < MAXIMUM_PENDING_CHARACTERS
    ) return undefined;
    return notRun("overloaded", "too many commands wait for their commit", {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }

  #replicaSetChangeRejection(): Failure | undefined {
    const { replicaSetHistory, commitIndex } = this.#state;
    if (this.isEstablished && replicaSetHistory.latestIndex <= commitIndex) {
      return undefined;
    }
    return notRun("conflict", "another change of the members is in progress", {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }

  async #commit(
    body: EntryBody,
    options: IDeadlineOptions,
  ): Promise<ProposalResult> {
    const index = this.#append(body);
    const size = this.#state.log.sizeFrom(index, 1);
    this.#pendingCharacters += size;
    const timer = new AbortController();
    const { clock } = this.#state;
    const result = await new Promise<ProposalResult>((resolve) => {
      this.#proposals.set(index, resolve);
      void clock.sleepUntil(options.deadline, timer.signal).then(() =>
        resolve(err(mayHaveRun("deadline-exceeded", "not committed in time")))
      );
    });
    timer.abort();
    this.#proposals.delete(index);
    this.#pendingCharacters -= size;
    return result;
  }

  #append(body: EntryBody): number {
    const { log, clock, term } = this.#state;
    invariant(
      term === this.term,
      "a leader appends entries of its own term only",
    );
    const index = log.lastIndex + 1;
    const earliest = Math.max(
      log.lastProposedAt,
      this.#options.machine.lastProposedAt,
    );
    const proposedAt = Math.max(clock.wall(), earliest);
    // A failed write stops the replica, and with it this term.
    this.#state.append([{ index, term, proposedAt, body }]).catch(() => {});
    if (body.kind === "replicas") this.#updatePeers();
    this.#peers.forEach((peer) => peer.notifyNewEntries());
    return index;
  }

  #updatePeers(): void {
    const { replicas, self } = this.#state;
    const members = allMembers(replicas)
      .filter(({ storage }) => storage !== self.storage);
    for (const [storage, peer] of this.#peers) {
      if (members.some((member) => member.storage === storage)) continue;
      peer.dispose();
      this.#peers.delete(storage);
    }
    for (const member of members) {
      if (!this.#peers.has(member.storage)) this.#addPeer(member);
    }
  }

  #addPeer(member: ReplicaMember): void {
    const peer = new PeerReplicator(member, this.#state, {
      rpc: this.#options.rpc,
      snapshots: this.#options.snapshots,
      observer: { onProgress: () => this.#advanceCommitIndex() },
    });
    this.#peers.set(member.storage, peer);
    peer.start();
  }

  /** Commits entries that are durable on a quorum, if they are of this term. */
  #advanceCommitIndex(): void {
    const { log, replicas, self, role, term } = this.#state;
    if (role !== "leader" || term !== this.term) return;
    const replicated = quorumValue(
      replicas,
      ({ storage }) =>
        storage === self.storage
          ? log.syncedIndex
          : this.contacts.matchIndex(storage) ?? 0,
    );
    if (log.termAt(replicated) === this.term) this.#state.commit(replicated);
    this.#progress.notify();
  }

  #resolveProposal({ entry, output }: IAppliedEntry): void {
    this.#progress.notify();
    if (entry.term !== this.term) return;
    this.#proposals.get(entry.index)?.(ok(output));
  }

  /** Steps down when no quorum has answered for an election timeout. */
  async #checkQuorum(): Promise<void> {
    const { clock, timing } = this.#state;
    const { minimumElectionTimeout } = timing;
    for (;;) {
      const contactAt = Math.max(this.quorumContactAt, this.#startedAt);
      const deadline = contactAt + minimumElectionTimeout as Deadline;
      if (clock.isPast(deadline)) break;
      const next = clock.deadlineIn(timing.heartbeatInterval);
      await clock.sleepUntil(next, this.#stopping.signal);
      if (this.#stopping.signal.aborted) return;
    }
    this.#state.stepDown("no contact to a quorum");
  }
}
