import { ok, type Result } from "neverthrow";
import { type Deadline, type Failure, type IClock } from "../common/mod.ts";
import type { IRpcClient } from "../rpc/mod.ts";
import { leaderElected } from "./events.ts";
import { voteMethod, type VoteParams } from "./messages.ts";
import { quorumSize, type ReplicaMember } from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Stands for election when the leader is silent, and answers candidates. */
export class Elector {
  #state: ReplicaState;
  #clock: IClock;
  #rpc: IRpcClient;
  #random: () => number;
  #attemptedAt = Number.NEGATIVE_INFINITY;

  /** @param options.random source of numbers from 0 up to 1. */
  constructor(
    state: ReplicaState,
    rpc: IRpcClient,
    options: { random: () => number },
  ) {
    this.#state = state;
    this.#clock = state.clock;
    this.#rpc = rpc;
    this.#random = options.random;
  }

  /** Watches the leader until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.#state.role !== "stopped") {
      const { electionMinimum, electionSpread } = this.#state.timing;
      const timeout = electionMinimum + this.#random() * electionSpread;
      await this.#waitForSilence(timeout, signal);
      if (signal.aborted) return;
      await this.campaign({ transfer: false });
    }
  }

  /** Stands for election once. */
  async campaign(options: { transfer: boolean }): Promise<void> {
    const state = this.#state;
    this.#attemptedAt = this.#clock.monotonic();
    if (!options.transfer && !await this.#isElectable()) return;
    if (state.role !== "follower" && state.role !== "candidate") return;
    state.stand();
    const { term } = state;
    await state.terms.durable();
    const elected = await this.#collectVotes({
      term,
      preVote: false,
      transfer: options.transfer,
    });
    if (!elected || state.term !== term || state.role !== "candidate") return;
    state.lead();
    const { lastIndex } = state.log;
    state.events.emit(leaderElected, { term, lastIndex });
  }

  /** Answers a candidate. */
  async vote(
    params: VoteParams,
  ): Promise<Result<{ term: number; granted: boolean }, Failure>> {
    const state = this.#state;
    if (state.isLeaderRecent && !params.transfer) {
      await state.terms.durable();
      return ok({ term: state.term, granted: false });
    }
    if (params.preVote) {
      const granted = params.term > state.term && this.#isUpToDate(params);
      await state.terms.durable();
      return ok({ term: state.term, granted });
    }
    state.observeTerm(params.term);
    const { votedFor } = state.terms;
    const isFree = votedFor === undefined || votedFor === params.from;
    const granted = params.term === state.term && isFree &&
      this.#isUpToDate(params);
    if (granted) state.terms.vote(params.from);
    await state.terms.durable();
    return ok({ term: state.term, granted });
  }

  async #waitForSilence(timeout: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { role, heardAt, isVoter, replicas } = this.#state;
      const waits = role === "leader" || !isVoter;
      const alone = replicas.voters.length === 1;
      const since = waits
        ? this.#clock.monotonic()
        : Math.max(alone ? 0 : heardAt, this.#attemptedAt);
      const deadline = since + (alone && !waits ? 0 : timeout) as Deadline;
      if (!waits && this.#clock.isPast(deadline)) return;
      await this.#clock.sleepUntil(deadline, signal);
    }
  }

  /** Whether a quorum would vote for this replica. */
  #isElectable(): Promise<boolean> {
    const term = this.#state.term + 1;
    return this.#collectVotes({ term, preVote: true, transfer: false });
  }

  /** Resolves as soon as a quorum has granted or cannot any more. */
  #collectVotes(
    kind: { term: number; preVote: boolean; transfer: boolean },
  ): Promise<boolean> {
    const { replicas, self, isVoter, timing } = this.#state;
    const needed = quorumSize(replicas);
    const peers = replicas.voters
      .filter(({ storage }) => storage !== self.storage);
    const deadline = this.#clock.deadlineIn(timing.electionMinimum);
    let granted = isVoter ? 1 : 0;
    let open = peers.length;
    return new Promise((resolve) => {
      if (granted >= needed) return resolve(true);
      for (const peer of peers) {
        void this.#ask(peer, { ...kind, deadline }).then((isGranted) => {
          open -= 1;
          if (isGranted) granted += 1;
          if (granted >= needed) resolve(true);
          if (granted + open < needed) resolve(false);
        });
      }
    });
  }

  async #ask(
    peer: ReplicaMember,
    options: {
      term: number;
      preVote: boolean;
      transfer: boolean;
      deadline: Deadline;
    },
  ): Promise<boolean> {
    const { cluster, self, log } = this.#state;
    const { deadline, ...kind } = options;
    const answer = await this.#rpc.call(peer, voteMethod, {
      cluster,
      to: peer.storage,
      from: self.storage,
      ...kind,
      lastIndex: log.lastIndex,
      lastTerm: log.lastTerm,
    }, { deadline });
    if (answer.isErr()) return false;
    this.#state.observeTerm(answer.value.term);
    return answer.value.granted;
  }

  #isUpToDate(params: VoteParams): boolean {
    const { lastTerm, lastIndex } = this.#state.log;
    if (params.lastTerm !== lastTerm) return params.lastTerm > lastTerm;
    return params.lastIndex >= lastIndex;
  }
}
