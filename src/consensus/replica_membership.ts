import { type Deadline, earlierDeadline, type IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcClient, PeerAddress } from "../rpc/mod.ts";
import { joinedAgain, leavingEnded } from "./events.ts";
import { LeaderFinder } from "./leader_finder.ts";
import { joinMethod, leaderStatusMethod, leaveMethod } from "./messages.ts";
import type { Replica } from "./replica.ts";
import type { ReplicaMember } from "./replica_set.ts";
import type { IReplicationTiming } from "./timing.ts";
import type { IDeadlineOptions } from "./types.ts";

/** Interval at which a replica checks its membership, in milliseconds. */
const MEMBERSHIP_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Longest wait for one answer to a request to leave, in milliseconds. */
const LEAVE_TIMEOUT_MILLISECONDS = 1_000;

/** Pause between two requests to leave, in milliseconds. */
const LEAVE_RETRY_DELAY_MILLISECONDS = 50;

/** Dependencies of a `ReplicaMembership`. */
export interface IReplicaMembershipOptions {
  readonly rpc: IRpcClient;
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly timing: IReplicationTiming;
  readonly founders: () => readonly PeerAddress[];
  /** Leader that has announced itself to this instance, if there is one. */
  readonly announcedLeader: () => PeerAddress | undefined;
}

/** Membership of a replica in a log whose leader replaces voters itself. */
export class ReplicaMembership {
  #replica: Replica;
  #member: ReplicaMember;
  #options: IReplicaMembershipOptions;

  constructor(
    replica: Replica,
    member: ReplicaMember,
    options: IReplicaMembershipOptions,
  ) {
    this.#replica = replica;
    this.#member = member;
    this.#options = options;
  }

  /** Joins the log again whenever the leader has removed this replica. */
  async rejoinIfRemoved(
    isCurrent: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { rpc, clock, founders, announcedLeader, events } = this.#options;
    const { id, storage } = this.#member;
    const finder = new LeaderFinder(founders, rpc, { clock });
    while (!signal.aborted) {
      await clock.sleepUntil(
        clock.deadlineIn(MEMBERSHIP_CHECK_INTERVAL_MILLISECONDS),
        signal,
      );
      if (!isCurrent()) return;
      if (signal.aborted || this.#replica.hasRecentLeaderContact) continue;
      const options = {
        deadline: clock.deadlineIn(MEMBERSHIP_CHECK_INTERVAL_MILLISECONDS),
      };
      const leader = await finder.find(options) ?? announcedLeader();
      if (!leader || leader.id === id) continue;
      const status = await rpc.call(leader, leaderStatusMethod, {}, options);
      if (status.isErr()) continue;
      const { voters, learners } = status.value;
      const members = [...voters, ...learners];
      if (members.some((member) => member.storage === storage)) continue;
      const params = { member: this.#member };
      const joined = await rpc.call(leader, joinMethod, params, options);
      if (joined.isOk()) events.emit(joinedAgain, { storage });
    }
  }

  /**
   * Asks the leader to replace this replica, whose process is about to end.
   * Resolves with whether it is no longer a voter: false if no learner can take
   * its place, or if there is no leader. If the leader is lost meanwhile, the
   * next one is asked.
   *
   * @param options.hasTransferred whether this replica led until now.
   */
  async leave(
    options: IDeadlineOptions & { hasTransferred: boolean },
  ): Promise<boolean> {
    const { clock, events } = this.#options;
    const startedAt = clock.monotonic();
    // A replica that still leads found no voter that could take over.
    const hasLeader = options.hasTransferred ||
      (!this.#replica.leader && this.#replica.hasRecentLeaderContact);
    const isReplaced = hasLeader && await this.#requestReplacement(options);
    const milliseconds = Math.round(clock.monotonic() - startedAt);
    events.emit(leavingEnded, { isReplaced, milliseconds });
    return isReplaced;
  }

  async #requestReplacement({ deadline }: IDeadlineOptions): Promise<boolean> {
    const { rpc, clock } = this.#options;
    const { storage } = this.#member;
    let nextLeaderBy = this.#electionDeadline();
    while (!clock.isPast(deadline)) {
      const leader = await this.#findOtherLeader(deadline);
      const answer = leader &&
        await rpc.call(leader, leaveMethod, { storage }, {
          deadline: earlierDeadline(
            deadline,
            clock.deadlineIn(LEAVE_TIMEOUT_MILLISECONDS),
          ),
        });
      if (answer?.isOk()) return answer.value.isReplaced;
      // The leader waits for a learner that has not caught up yet.
      const isWaiting = answer?.isErr() &&
        answer.error.code === "deadline-exceeded";
      if (isWaiting) nextLeaderBy = this.#electionDeadline();
      else if (clock.isPast(nextLeaderBy)) return false;
      await clock.sleepUntil(clock.deadlineIn(LEAVE_RETRY_DELAY_MILLISECONDS));
    }
    return false;
  }

  /** The current leader, after a transfer if this replica leads. */
  async #findOtherLeader(deadline: Deadline): Promise<PeerAddress | undefined> {
    const manager = this.#replica.replicaSetManager;
    if (manager) await manager.transferLeadership({ deadline });
    const { leader, voters } = this.#replica.status();
    if (leader === this.#member.id) return undefined;
    return voters.find(({ id }) => id === leader);
  }

  /** Time by which another leader is elected if a quorum is connected. */
  #electionDeadline(): Deadline {
    const { clock, timing } = this.#options;
    const { minimumElectionTimeout, electionTimeoutJitter } = timing;
    return clock.deadlineIn(
      2 * (minimumElectionTimeout + electionTimeoutJitter),
    );
  }
}
