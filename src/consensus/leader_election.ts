import { ok, type Result } from "neverthrow";
import { type Deadline, type Failure, type IClock } from "../common/mod.ts";
import type { IRpcClient } from "../rpc/mod.ts";
import { leaderElected } from "./events.ts";
import { voteMethod, type VoteParams } from "./messages.ts";
import { quorumSize, type ReplicaMember } from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Starts an election when the leader is silent, and answers vote requests. */
export class LeaderElection {
  #state: ReplicaState;
  #clock: IClock;
  #rpc: IRpcClient;
  #random: () => number;
  #lastCampaignAt = Number.NEGATIVE_INFINITY;

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

  /** Starts an election after each election timeout, until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.#state.role !== "stopped") {
      const {
        minimumElectionTimeout,
        electionTimeoutJitter,
      } = this.#state.timing;
      const timeout = minimumElectionTimeout +
        this.#random() * electionTimeoutJitter;
      await this.#waitForElectionTimeout(timeout, signal);
      if (signal.aborted) return;
      await this.campaign({ transfer: false });
    }
  }

  /** Runs one election; a transfer of leadership needs no pre-vote. */
  async campaign(options: { transfer: boolean }): Promise<void> {
    const state = this.#state;
    this.#lastCampaignAt = this.#clock.monotonic();
    if (!options.transfer && !await this.#winsPreVote()) return;
    if (state.role !== "follower" && state.role !== "candidate") return;
    state.becomeCandidate();
    const { term } = state;
    await state.terms.waitUntilDurable();
    const elected = await this.#collectVotes({
      term,
      preVote: false,
      transfer: options.transfer,
    });
    if (!elected || state.term !== term || state.role !== "candidate") return;
    state.becomeLeader();
    const { lastIndex } = state.log;
    state.events.emit(leaderElected, { term, lastIndex });
  }

  /** Answers the vote request of a candidate. */
  async handleVoteRequest(
    params: VoteParams,
  ): Promise<Result<{ term: number; granted: boolean }, Failure>> {
    const state = this.#state;
    if (state.hasRecentLeaderContact && !params.transfer) {
      await state.terms.waitUntilDurable();
      return ok({ term: state.term, granted: false });
    }
    if (params.preVote) {
      const granted = params.term > state.term && this.#isUpToDate(params);
      await state.terms.waitUntilDurable();
      return ok({ term: state.term, granted });
    }
    state.observeTerm(params.term);
    const { votedFor } = state.terms;
    const isFree = votedFor === undefined || votedFor === params.from;
    const granted = params.term === state.term && isFree &&
      this.#isUpToDate(params);
    if (granted) state.terms.recordVote(params.from);
    await state.terms.waitUntilDurable();
    return ok({ term: state.term, granted });
  }

  async #waitForElectionTimeout(
    timeout: number,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const { role, leaderContactAt, isVoter, replicas } = this.#state;
      const cannotCampaign = role === "leader" || !isVoter;
      const isOnlyVoter = replicas.voters.length === 1;
      const electionTimerStartedAt = cannotCampaign
        ? this.#clock.monotonic()
        : Math.max(isOnlyVoter ? 0 : leaderContactAt, this.#lastCampaignAt);
      const deadline = electionTimerStartedAt +
        (isOnlyVoter && !cannotCampaign ? 0 : timeout) as Deadline;
      if (!cannotCampaign && this.#clock.isPast(deadline)) return;
      await this.#clock.sleepUntil(deadline, signal);
    }
  }

  /** Whether a quorum would vote for this replica. */
  #winsPreVote(): Promise<boolean> {
    const term = this.#state.term + 1;
    return this.#collectVotes({ term, preVote: true, transfer: false });
  }

  /** Resolves as soon as a quorum has granted its votes or no longer can. */
  #collectVotes(
    request: { term: number; preVote: boolean; transfer: boolean },
  ): Promise<boolean> {
    const { replicas, self, isVoter, timing } = this.#state;
    const needed = quorumSize(replicas);
    const peers = replicas.voters
      .filter(({ storage }) => storage !== self.storage);
    const deadline = this.#clock.deadlineIn(timing.minimumElectionTimeout);
    let granted = isVoter ? 1 : 0;
    let outstanding = peers.length;
    return new Promise((resolve) => {
      if (granted >= needed) return resolve(true);
      for (const peer of peers) {
        void this.#requestVote(peer, { ...request, deadline }).then(
          (isGranted) => {
            outstanding -= 1;
            if (isGranted) granted += 1;
            if (granted >= needed) resolve(true);
            if (granted + outstanding < needed) resolve(false);
          },
        );
      }
    });
  }

  async #requestVote(
    peer: ReplicaMember,
    options: {
      term: number;
      preVote: boolean;
      transfer: boolean;
      deadline: Deadline;
    },
  ): Promise<boolean> {
    const { cluster, self, log } = this.#state;
    const { deadline, ...request } = options;
    const answer = await this.#rpc.call(peer, voteMethod, {
      cluster,
      to: peer.storage,
      from: self.storage,
      ...request,
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
