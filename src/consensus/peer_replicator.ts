import type { Result } from "neverthrow";
import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IRpcClient, RpcLane } from "../rpc/mod.ts";
import type { Entry } from "./entry.ts";
import { peerEntriesLost } from "./events.ts";
import { appendMethod, type AppendResult } from "./messages.ts";
import type { ReplicaMember } from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";
import { ConditionVariable } from "./condition_variable.ts";
import type { ISnapshotSender } from "./types.ts";

/** Largest encoded size of the entries in one message, in characters. */
const MAXIMUM_BATCH_CHARACTERS = 1024 * 1024;

/**
 * Encoded size of the entries above which a message is sent on the `bulk` lane,
 * so that it does not delay heartbeats, in characters.
 */
const BULK_THRESHOLD_CHARACTERS = 32 * 1024;

/** Receives notifications of a `PeerReplicator`. */
export interface IPeerReplicatorObserver {
  /** Called when the peer has answered, or has installed a snapshot. */
  onProgress(): void;
}

/**
 * Replicates the log to one peer while this replica leads.
 *
 * One task sends entries, one message at a time. Another task sends
 * heartbeats, which never wait for the peer's disk.
 */
export class PeerReplicator implements IDisposable {
  readonly peer: ReplicaMember;
  #state: ReplicaState;
  #clock: IClock;
  #rpc: IRpcClient;
  #snapshots: ISnapshotSender;
  #observer: IPeerReplicatorObserver;
  #term: number;
  #nextIndex: number;
  #matchIndex = 0;
  #contactAt = Number.NEGATIVE_INFINITY;
  #isRefusing = false;
  /** When replication to the peer started. */
  readonly startedAt: number;
  #newEntries = new ConditionVariable();
  #stopping = new AbortController();
  #wakeUp = new AbortController();

  constructor(
    peer: ReplicaMember,
    state: ReplicaState,
    options: {
      rpc: IRpcClient;
      snapshots: ISnapshotSender;
      observer: IPeerReplicatorObserver;
    },
  ) {
    this.peer = peer;
    this.#state = state;
    this.#clock = state.clock;
    this.#rpc = options.rpc;
    this.#snapshots = options.snapshots;
    this.#observer = options.observer;
    this.#term = state.term;
    this.startedAt = state.clock.monotonic();
    // The last entry is sent at once, to find out where the logs match.
    this.#nextIndex = Math.max(1, state.log.lastIndex);
  }

  /** Last index up to which this log is durable on the peer. */
  get matchIndex(): number {
    return this.#matchIndex;
  }

  /** When the latest message that the peer answered was sent. */
  get contactAt(): number {
    return this.#contactAt;
  }

  /** Whether no process accepted the latest heartbeat that has ended. */
  get isRefusing(): boolean {
    return this.#isRefusing;
  }

  /** Starts the tasks. */
  start(): void {
    for (const task of [this.#replicate(), this.#sendHeartbeats()]) {
      task.catch((error) => this.#state.fail(error as Error));
    }
  }

  /** Wakes the task that sends entries. */
  notifyNewEntries(): void {
    this.#newEntries.notify();
  }

  /** Sends a heartbeat at once. */
  sendHeartbeatNow(): void {
    this.#wakeUp.abort();
  }

  dispose(): void {
    this.#stopping.abort();
    this.#wakeUp.abort();
    this.#newEntries.notify();
  }

  get #isActive(): boolean {
    if (this.#stopping.signal.aborted) return false;
    return this.#state.role === "leader" && this.#state.term === this.#term;
  }

  async #replicate(): Promise<void> {
    while (this.#isActive) {
      const { log } = this.#state;
      if (this.#nextIndex > log.lastIndex) {
        await this.#newEntries.wait();
        continue;
      }
      const sent = this.#nextIndex < log.firstIndex
        ? await this.#sendSnapshot()
        : await this.#sendEntries();
      if (!sent) await this.#pause();
    }
  }

  async #sendHeartbeats(): Promise<void> {
    while (this.#isActive) {
      // A call that gets no answer must not delay the next heartbeat.
      void this.#sendHeartbeat();
      if (this.#wakeUp.signal.aborted) this.#wakeUp = new AbortController();
      const next = this.#clock.deadlineIn(this.#state.timing.heartbeatInterval);
      await this.#clock.sleepUntil(next, this.#wakeUp.signal);
    }
  }

  async #sendHeartbeat(): Promise<void> {
    const { commitIndex, timing } = this.#state;
    const sentAt = this.#clock.monotonic();
    const answer = await this.#append({
      entries: [],
      commitIndex: Math.min(commitIndex, this.#matchIndex),
      deadline: this.#clock.deadlineIn(timing.minimumElectionTimeout),
      lane: "control",
    });
    this.#isRefusing = answer.isErr() && answer.error.verdict === "not-run" &&
      answer.error.code === "unavailable";
    if (this.#accepts(answer)) this.#recordContact(sentAt);
  }

  async #sendEntries(): Promise<boolean> {
    const { log, timing } = this.#state;
    const entries = await log.entriesFrom(
      this.#nextIndex,
      MAXIMUM_BATCH_CHARACTERS,
    );
    // The entries may have been compacted while they were read.
    if (!this.#isActive || entries.length === 0) return true;
    const { commitIndex } = this.#state;
    const sentAt = this.#clock.monotonic();
    const answer = await this.#append({
      entries,
      commitIndex,
      deadline: this.#clock.deadlineIn(timing.appendTimeout),
      lane: log.sizeFrom(this.#nextIndex, entries.length) >
          BULK_THRESHOLD_CHARACTERS
        ? "bulk"
        : "control",
    });
    if (!answer.isOk() || !this.#isActive) return false;
    if (!answer.value.accepted) return this.#stepBack(answer.value.index);
    const last = this.#nextIndex + entries.length - 1;
    this.#matchIndex = Math.max(this.#matchIndex, last);
    this.#nextIndex = this.#matchIndex + 1;
    this.#recordContact(sentAt);
    return true;
  }

  /**
   * Continues before entries that the peer rejected.
   *
   * @param index index after which to retry, as the peer says.
   * @returns whether there are earlier entries to send.
   */
  #stepBack(index: number): boolean {
    const prevIndex = this.#nextIndex - 1;
    const retryIndex = Math.max(0, Math.min(index, prevIndex - 1));
    if (retryIndex < this.#matchIndex) {
      this.#state.events.emit(peerEntriesLost, {
        peer: this.peer.id,
        confirmedIndex: this.#matchIndex,
        retryIndex,
      });
      this.#matchIndex = retryIndex;
    }
    this.#nextIndex = retryIndex + 1;
    return prevIndex > 0;
  }

  async #sendSnapshot(): Promise<boolean> {
    const index = await this.#snapshots.send(this.peer, this.#stopping.signal);
    if (index === undefined || !this.#isActive) return false;
    this.#matchIndex = Math.max(this.#matchIndex, index);
    this.#nextIndex = this.#matchIndex + 1;
    this.#observer.onProgress();
    return true;
  }

  async #append(options: {
    entries: Entry[];
    commitIndex: number;
    deadline: Deadline;
    lane: RpcLane;
  }): Promise<Result<AppendResult, Failure>> {
    const { cluster, self, log } = this.#state;
    const { entries, commitIndex, deadline, lane } = options;
    const prevIndex = this.#nextIndex - 1;
    const answer = await this.#rpc.call(this.peer, appendMethod, {
      cluster,
      to: this.peer.storage,
      from: self.storage,
      term: this.#term,
      leader: self.id,
      prevIndex,
      prevTerm: log.termAt(prevIndex) ?? 0,
      entries,
      commitIndex,
    }, { deadline, lane });
    if (answer.isOk()) this.#state.observeTerm(answer.value.term);
    return answer;
  }

  #accepts(answer: Result<AppendResult, Failure>): boolean {
    return answer.isOk() && answer.value.accepted && this.#isActive;
  }

  #recordContact(sentAt: number): void {
    this.#contactAt = Math.max(this.#contactAt, sentAt);
    this.#observer.onProgress();
  }

  async #pause(): Promise<void> {
    const end = this.#clock.deadlineIn(this.#state.timing.heartbeatInterval);
    await this.#clock.sleepUntil(end, this.#stopping.signal);
  }
}
