import { err, ok, type Result } from "neverthrow";
import { type Failure, invariant, mayHaveRun, notRun } from "../common/mod.ts";
import type { Entry } from "./entry.ts";
import type { AppendParams, AppendResult } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Handles entries and heartbeats from the leader. */
export class Follower {
  #state: ReplicaState;
  #appending: Promise<unknown> = Promise.resolve();

  constructor(state: ReplicaState) {
    this.#state = state;
  }

  /** Answers an append once its entries are durable. */
  async handleAppend(
    params: AppendParams,
  ): Promise<Result<AppendResult, Failure>> {
    if (params.entries.length === 0) return await this.#heartbeat(params);
    const run = this.#appending.then(() => this.#handleAppend(params));
    this.#appending = run.catch(() => {});
    return await run;
  }

  /** Runs an action while no append is processed. */
  runExclusive<T>(action: () => Promise<T>): Promise<T> {
    const run = this.#appending.then(action);
    this.#appending = run.catch(() => {});
    return run;
  }

  /** Follows the sender if its term is the current one. */
  acceptLeader(
    header: { term: number; leader: string; from: string },
  ): boolean {
    const state = this.#state;
    state.observeTerm(header.term);
    if (header.term < state.term || state.role === "stopped") return false;
    state.followLeader(header.leader, header.from);
    return true;
  }

  /**
   * Answers a sender that is not followed: its term is over, or this replica
   * stops and can say nothing about its log.
   */
  async rejectLeader(): Promise<
    Result<{ term: number; accepted: false; index: 0 }, Failure>
  > {
    const state = this.#state;
    if (state.role === "stopped") {
      return err(notRun("storage-error", "the replica is stopped"));
    }
    await state.terms.waitUntilDurable();
    return ok({ term: state.term, accepted: false, index: 0 });
  }

  /**
   * Handles a heartbeat. Its commit index is no higher than the last entry
   * that this replica is known to have stored.
   */
  async #heartbeat(
    params: AppendParams,
  ): Promise<Result<AppendResult, Failure>> {
    const state = this.#state;
    if (!this.acceptLeader(params)) return await this.rejectLeader();
    // A disk may have lost entries that the leader knows to be stored.
    state.commit(Math.min(params.commitIndex, state.log.lastIndex));
    await state.terms.waitUntilDurable();
    const { term, log } = state;
    return ok({ term, accepted: true, index: log.lastIndex });
  }

  async #handleAppend(
    params: AppendParams,
  ): Promise<Result<AppendResult, Failure>> {
    const state = this.#state;
    if (!isConsecutive(params)) {
      return err(notRun("bad-request", "the entries are not consecutive"));
    }
    if (!this.acceptLeader(params)) return await this.rejectLeader();
    const { term } = state;
    if (!this.#matchesPreviousEntry(params)) {
      await state.terms.waitUntilDurable();
      return ok({ term, accepted: false, index: this.#retryIndex(params) });
    }
    const last = params.prevIndex + params.entries.length;
    const missing = this.#missingEntries(params.entries);
    await (missing.length > 0
      ? state.append(missing)
      : state.log.waitUntilSynced());
    await state.terms.waitUntilDurable();
    if (state.log.isFailed) {
      return err(mayHaveRun("storage-error", "the disk has failed"));
    }
    invariant(state.log.syncedIndex >= last, "acknowledged entries are synced");
    if (state.term === term) state.commit(Math.min(params.commitIndex, last));
    return ok({ term: state.term, accepted: state.term === term, index: last });
  }

  /**
   * Whether the entry before the sent ones is the same in both logs. Committed
   * entries always are.
   */
  #matchesPreviousEntry(params: AppendParams): boolean {
    if (params.prevIndex <= this.#state.commitIndex) return true;
    return this.#state.log.termAt(params.prevIndex) === params.prevTerm;
  }

  /** Returns the entries that are not stored yet. */
  #missingEntries(entries: readonly Entry[]): Entry[] {
    const { log, commitIndex } = this.#state;
    const start = entries.findIndex((entry) =>
      entry.index > commitIndex && log.termAt(entry.index) !== entry.term
    );
    return start === -1 ? [] : entries.slice(start);
  }

  /** Last index at which the leader's log may match this one. */
  #retryIndex(params: AppendParams): number {
    const { log, commitIndex } = this.#state;
    if (params.prevIndex > log.lastIndex) return log.lastIndex;
    const conflicting = log.termAt(params.prevIndex);
    let index = params.prevIndex - 1;
    while (index > commitIndex && log.termAt(index) === conflicting) {
      index -= 1;
    }
    return index;
  }
}

/** Whether the entries follow the previous one without a gap. */
function isConsecutive({ prevIndex, entries }: AppendParams): boolean {
  return entries.every(({ index }, position) =>
    index === prevIndex + 1 + position
  );
}
