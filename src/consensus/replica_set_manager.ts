import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { IRpcClient } from "../rpc/mod.ts";
import { ConditionVariable } from "./condition_variable.ts";
import { voterReplaced } from "./events.ts";
import type { LeaderTerm } from "./leader_term.ts";
import { helloMethod, type ReplicaChange } from "./messages.ts";
import {
  allMembers,
  isVoter,
  MAXIMUM_MEMBERS,
  type ReplicaMember,
  type ReplicaSet,
  withoutMember,
} from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";
import type { IDeadlineOptions, IVoterPolicy } from "./types.ts";
import { nextVoterChange } from "./voter_policy.ts";

/** Largest number of entries that a learner may lack when it is promoted. */
const PROMOTION_LAG_ENTRIES = 100;

/** Longest wait for an automatic change, in milliseconds. */
const CHANGE_TIMEOUT_MILLISECONDS = 5_000;

/** Election timeouts without contact after which a learner is removed. */
const LOST_AFTER_ELECTION_TIMEOUTS = 6;

/** Heartbeats that a voter's address refuses before the voter is replaced. */
const REPLACED_AFTER_REFUSALS = 2;

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
  /** Members whose processes are about to end, until the given times. */
  #leaving = new Map<string, Deadline>();
  #wakeUp = new AbortController();
  /** Notified when a member may have changed. */
  #progress = new ConditionVariable();
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
      await this.#clock.sleepUntil(next, this.#wakeUp.signal);
      if (this.#wakeUp.signal.aborted) this.#wakeUp = new AbortController();
      // The second change of a replacement follows at once.
      while (!signal.aborted && await this.#makeNextChange()) {
        this.#progress.notify();
      }
      this.#progress.notify();
    }
  }

  dispose(): void {
    this.#stopping.abort();
    this.#wakeUp.abort();
    this.#progress.notify();
  }

  /** Makes one change if one is needed; returns whether it was made. */
  async #makeNextChange(): Promise<boolean> {
    const deadline = this.#clock.deadlineIn(CHANGE_TIMEOUT_MILLISECONDS);
    const returned = this.#state.replicas.learners.find((it) =>
      it.promote && !this.#isStopping(it) && this.#isCaughtUp(it)
    );
    const result = returned
      ? await this.#promote(returned, { deadline })
      : this.#policy && await this.#maintainVoters(this.#policy, { deadline });
    return result?.isOk() ?? false;
  }

  /** Makes the next change towards the number of voters in the policy. */
  async #maintainVoters(
    policy: IVoterPolicy,
    options: IDeadlineOptions,
  ): Promise<ChangeResult | undefined> {
    const { replicas, self, timing, events } = this.#state;
    const maximumSilence = LOST_AFTER_ELECTION_TIMEOUTS *
      timing.minimumElectionTimeout;
    const step = nextVoterChange(replicas, {
      targetVoters: policy.targetVoters,
      leader: self.storage,
      isRetiring: ({ id }) => policy.isRetiring(id),
      isStopping: (member) => this.#isStopping(member),
      isCaughtUp: (member) => this.#isCaughtUp(member),
      isSilent: (member) => this.#isSilent(member),
      isLost: (member) =>
        this.#leader.contacts.timeSinceContact(member.storage) > maximumSilence,
    });
    if (!step) return undefined;
    const { action, member, reason } = step;
    events.emit(voterReplaced, { action, member: member.id, reason });
    return await match(action)
      .with("promote", () => this.#promote(member, options))
      .with("demote", () => this.#demote(member, options))
      .with("remove", () => this.#remove(member, options))
      .with("hand-over", () => this.#transfer(undefined, options))
      .exhaustive();
  }

  /**
   * Replaces a voter whose process is about to end, if a learner can take its
   * place. Resolves with whether it is no longer a voter.
   */
  async leave(
    storage: string,
    options: IDeadlineOptions,
  ): Promise<Result<boolean, Failure>> {
    this.#leaving.set(storage, options.deadline);
    this.#wakeUp.abort();
    while (!this.#stopping.signal.aborted) {
      const { replicas, commitIndex, replicaSetHistory } = this.#state;
      const isVoting = isVoter(replicas, storage);
      const isPending = replicaSetHistory.latestIndex > commitIndex;
      if (!isVoting && !isPending) return ok(true);
      if (isVoting && !this.#canReplaceVoter()) return ok(false);
      if (this.#clock.isPast(options.deadline)) {
        const reason = "no learner has caught up yet";
        return err(notRun("deadline-exceeded", reason));
      }
      await this.#progress.wait();
    }
    return err(notRun("not-leader", "another replica leads"));
  }

  /** Transfers leadership to the voter that has most entries and stays. */
  async transferLeadership(options: IDeadlineOptions): Promise<boolean> {
    return (await this.#transfer(undefined, options)).isOk();
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
    this.#leaving.delete(member.storage);
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

  async #demote(
    member: ReplicaMember,
    options: IDeadlineOptions,
  ): Promise<ChangeResult> {
    const replicas = withoutMember(this.#state.replicas, member);
    replicas.learners.push({ ...member, promote: false });
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
    const target = id === undefined
      ? this.#selectNextLeader()
      : replicas.voters.find((voter) => voter.id === id);
    if (id !== undefined && !target) {
      return err(notRun("not-found", `${id} is not a voter`));
    }
    const done = target && await this.#leader.transfer(target, options);
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

  #selectNextLeader(): ReplicaMember | undefined {
    const { replicas, self } = this.#state;
    const stays = (it: ReplicaMember) =>
      !this.#isStopping(it) && this.#hasRecentContact(it, 1) &&
      !this.#policy?.isRetiring(it.id);
    const reached = ({ storage }: ReplicaMember) =>
      this.#leader.contacts.matchIndex(storage) ?? 0;
    return replicas.voters
      .filter(({ storage }) => storage !== self.storage)
      .sort((a, b) =>
        Number(stays(b)) - Number(stays(a)) || reached(b) - reached(a)
      )[0];
  }

  /**
   * Whether a voter that leaves can be replaced: there are more voters than
   * needed, or a learner answers, which may still have to catch up.
   */
  #canReplaceVoter(): boolean {
    if (!this.#policy) return false;
    const { voters, learners } = this.#state.replicas;
    if (voters.length > this.#policy.targetVoters) return true;
    const { contacts } = this.#leader;
    return learners.some((it) =>
      !this.#policy?.isRetiring(it.id) && !this.#isStopping(it) &&
      contacts.timeSinceContact(it.storage) <
        this.#state.timing.minimumElectionTimeout
    );
  }

  #isStopping(member: ReplicaMember): boolean {
    const until = this.#leaving.get(member.storage);
    return until !== undefined && !this.#clock.isPast(until);
  }

  /** Whether a voter does not answer although another member does. */
  #isSilent(member: ReplicaMember): boolean {
    const { self, timing } = this.#state;
    if (member.storage === self.storage) return false;
    const { contacts } = this.#leader;
    const maximumSilence = contacts.isRefusing(member.storage)
      ? REPLACED_AFTER_REFUSALS * timing.heartbeatInterval
      : timing.minimumElectionTimeout;
    return contacts.relativeSilence(member.storage) > maximumSilence;
  }

  #isCaughtUp(member: ReplicaMember): boolean {
    const index = this.#leader.contacts.matchIndex(member.storage) ?? 0;
    const { lastIndex } = this.#state.log;
    return this.#hasRecentContact(member, 1) &&
      this.#leader.isEstablished &&
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

  #hasRecentContact({ storage }: ReplicaMember, timeouts: number): boolean {
    const contactAt = this.#leader.contacts.contactAt(storage) ?? -Infinity;
    const silence = this.#clock.monotonic() - contactAt;
    return silence < timeouts * this.#state.timing.minimumElectionTimeout;
  }
}
