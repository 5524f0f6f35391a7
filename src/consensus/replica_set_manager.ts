import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import {
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { IRpcClient } from "../rpc/mod.ts";
import { voterReplaced } from "./events.ts";
import type { LeaderTerm } from "./leader_term.ts";
import { helloMethod, type ReplicaChange } from "./messages.ts";
import {
  allMembers,
  MAXIMUM_MEMBERS,
  type ReplicaMember,
  type ReplicaSet,
} from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";
import type { IDeadlineOptions, IVoterPolicy } from "./types.ts";
import { nextVoterChange } from "./voter_policy.ts";

/** Largest number of entries that a learner may lack when it is promoted. */
const PROMOTION_LAG_ENTRIES = 100;

/** Longest wait for an automatic change, in milliseconds. */
const CHANGE_TIMEOUT_MILLISECONDS = 5_000;

/** Election timeouts without contact after which a member counts as lost. */
const LOST_AFTER_ELECTION_TIMEOUTS = 6;

/**
 * Election timeouts without contact after which another data folder of the
 * same instance may replace a member.
 */
const REPLACEABLE_AFTER_ELECTION_TIMEOUTS = 2;

type ChangeResult = Result<ReplicaSet, Failure>;

/** Changes the members while this replica leads, one change at a time. */
export class ReplicaSetManager implements IDisposable {
  #state: ReplicaState;
  #leader: LeaderTerm;
  #rpc: IRpcClient;
  #policy: IVoterPolicy | undefined;
  #clock: IClock;
  #leadingSince: number;
  #stopping = new AbortController();

  constructor(
    state: ReplicaState,
    leader: LeaderTerm,
    options: { rpc: IRpcClient; voterPolicy?: IVoterPolicy },
  ) {
    this.#state = state;
    this.#leader = leader;
    this.#rpc = options.rpc;
    this.#policy = options.voterPolicy;
    this.#clock = state.clock;
    this.#leadingSince = state.clock.monotonic();
  }

  /** Promotes rejoined voters that have caught up, and applies the policy. */
  async run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(this.#state.timing.heartbeatInterval);
      await this.#clock.sleepUntil(next, signal);
      const returned = this.#state.replicas.learners
        .find((it) => it.promote && this.#isCaughtUp(it));
      if (signal.aborted) return;
      const options = {
        deadline: this.#clock.deadlineIn(CHANGE_TIMEOUT_MILLISECONDS),
      };
      if (returned) await this.#promote(returned, options);
      else if (this.#policy) await this.#maintainVoters(this.#policy, options);
    }
  }

  dispose(): void {
    this.#stopping.abort();
  }

  /** Makes the next change towards the number of voters in the policy. */
  async #maintainVoters(
    policy: IVoterPolicy,
    options: IDeadlineOptions,
  ): Promise<void> {
    const { replicas, self, timing, events } = this.#state;
    const maximumSilence = LOST_AFTER_ELECTION_TIMEOUTS *
      timing.minimumElectionTimeout;
    const step = nextVoterChange(replicas, {
      targetVoters: policy.targetVoters,
      leader: self.storage,
      isRetiring: ({ id }) => policy.isRetiring(id),
      isCaughtUp: (member) => this.#isCaughtUp(member),
      isLost: (member) =>
        member.storage !== self.storage &&
        this.#leader.timeSinceContact(member.storage) > maximumSilence,
    });
    if (!step) return;
    const { action, member, reason } = step;
    events.emit(voterReplaced, { action, member: member.id, reason });
    await match(action)
      .with("promote", () => this.#promote(member, options))
      .with("remove", () => this.#remove(member, options))
      .with("hand-over", () => this.#transfer(undefined, options))
      .exhaustive();
  }

  /** Makes a change that an operator requests. */
  async change(
    request: ReplicaChange,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    return await match(request)
      .with({ action: "add" }, ({ voter }) => this.#add(voter, options))
      .with(
        { action: "promote" },
        ({ voter }) =>
          this.#withMember(
            voter.id,
            (it) => this.#promoteOnRequest(it, options),
          ),
      )
      .with(
        { action: "remove" },
        ({ voter }) =>
          this.#withMember(voter.id, (it) => this.#remove(it, options)),
      )
      .with(
        { action: "transfer" },
        ({ voter }) => this.#transfer(voter?.id, options),
      )
      .exhaustive();
  }

  /**
   * Adds an empty data folder as a learner. If its instance was a member with
   * another folder, the same change removes that one.
   */
  async join(
    member: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    const { replicas } = this.#state;
    if (this.#policy?.isRetiring(member.id)) {
      return err(notRun("conflict", `${member.id} is being retired`));
    }
    const members = allMembers(replicas);
    if (members.some(({ storage }) => storage === member.storage)) {
      return ok(replicas);
    }
    const previous = members.find(({ id }) => id === member.id);
    if (!previous) return await this.#addLearner(member, options);
    if (this.#mayBeAlive(previous)) {
      const reason = `${member.id} is a member with another data folder`;
      return err(notRun("conflict", reason));
    }
    // Only one voter changes, so both steps can be one change. If they were
    // two, `promote` could be lost between them.
    const promote = replicas.voters.includes(previous) || previous.promote;
    const others = withoutMember(replicas, previous);
    const learners = [...others.learners, { ...member, promote }];
    return await this.#leader.changeReplicas({ ...others, learners }, options);
  }

  async #add(
    address: { id: string; address: string; port: number } & {
      failureDomain: string;
    },
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    const hello = await this.#rpc.call(address, helloMethod, {}, options);
    if (hello.isErr()) return err(hello.error);
    const { id, storage, cluster } = hello.value;
    if (id !== address.id) {
      return err(
        notRun("bad-request", `the instance at that address is ${id}`),
      );
    }
    if (cluster !== undefined && cluster !== this.#state.cluster) {
      return err(notRun("conflict", `${id} belongs to another log`));
    }
    return await this.join({ ...address, storage, promote: false }, options);
  }

  async #addLearner(
    member: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    const { voters, learners } = this.#state.replicas;
    if (voters.length + learners.length >= MAXIMUM_MEMBERS) {
      const reason = `the log has ${MAXIMUM_MEMBERS} members already`;
      return err(notRun("limit-exceeded", reason));
    }
    const replicas = { voters, learners: [...learners, member] };
    return await this.#leader.changeReplicas(replicas, options);
  }

  async #promoteOnRequest(
    member: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    if (this.#state.replicas.voters.includes(member)) {
      return ok(this.#state.replicas);
    }
    if (this.#isCaughtUp(member)) return await this.#promote(member, options);
    return err(notRun("conflict", `${member.id} has not caught up`, {
      retryAfterSeconds: 1,
    }));
  }

  async #promote(
    member: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    const { voters, learners } = this.#state.replicas;
    const replicas = {
      voters: [...voters, { ...member, promote: false }],
      learners: learners.filter((it) => it.storage !== member.storage),
    };
    return await this.#leader.changeReplicas(replicas, options);
  }

  async #remove(
    member: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    if (member.storage === this.#state.self.storage) {
      const reason = "the leader cannot be removed; transfer leadership first";
      return err(notRun("conflict", reason));
    }
    const replicas = withoutMember(this.#state.replicas, member);
    return await this.#leader.changeReplicas(replicas, options);
  }

  async #transfer(
    id: string | undefined,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    const { replicas } = this.#state;
    const target = replicas.voters.find((voter) => voter.id === id);
    if (id !== undefined && !target) {
      return err(notRun("not-found", `${id} is not a voter`));
    }
    const done = await this.#leader.transfer(target, options);
    if (done) return ok(replicas);
    return err(notRun("unavailable", "no voter took over leadership"));
  }

  #withMember(
    id: string,
    action: (member: ReplicaMember) => Promise<ChangeResult>,
  ): Promise<ChangeResult> {
    const member = allMembers(this.#state.replicas).find((it) => it.id === id);
    if (member) return action(member);
    return Promise.resolve(err(notRun("not-found", `${id} is not a member`)));
  }

  #isCaughtUp(member: ReplicaMember): boolean {
    const index = this.#leader.matchIndex(member.storage) ?? 0;
    const { lastIndex } = this.#state.log;
    if (!this.#hasRecentContact(member, 1)) return false;
    return this.#leader.isEstablished &&
      index + PROMOTION_LAG_ENTRIES >= lastIndex &&
      index > 0;
  }

  #mayBeAlive(member: ReplicaMember): boolean {
    const { minimumElectionTimeout } = this.#state.timing;
    const leadingFor = this.#clock.monotonic() - this.#leadingSince;
    if (
      leadingFor < REPLACEABLE_AFTER_ELECTION_TIMEOUTS * minimumElectionTimeout
    ) return true;
    if (member.storage === this.#state.self.storage) return true;
    return this.#hasRecentContact(member, REPLACEABLE_AFTER_ELECTION_TIMEOUTS);
  }

  #hasRecentContact(member: ReplicaMember, timeouts: number): boolean {
    const contactAt = this.#leader.contactAt(member.storage);
    if (contactAt === undefined) return false;
    const silence = this.#clock.monotonic() - contactAt;
    return silence < timeouts * this.#state.timing.minimumElectionTimeout;
  }
}

/** Returns the members without one. */
function withoutMember(
  replicas: ReplicaSet,
  member: ReplicaMember,
): ReplicaSet {
  const isOther = (it: ReplicaMember) => it.storage !== member.storage;
  return {
    voters: replicas.voters.filter(isOther),
    learners: replicas.learners.filter(isOther),
  };
}
