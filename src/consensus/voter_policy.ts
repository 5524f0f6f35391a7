import type { ReplicaMember, ReplicaSet } from "./replica_set.ts";

/** One change of the members that brings the voters closer to the policy. */
export interface IVoterChange {
  readonly action: "promote" | "demote" | "remove" | "hand-over";
  readonly member: ReplicaMember;
  readonly reason: string;
}

/** Leader's view of the members. */
export interface IReplicaSetView {
  readonly targetVoters: number;
  /** Storage identity of the leader. */
  readonly leader: string;
  isRetiring(member: ReplicaMember): boolean;
  /** Whether a member's process is about to end. */
  isStopping(member: ReplicaMember): boolean;
  isCaughtUp(member: ReplicaMember): boolean;
  /** Whether a caught-up learner should take a voter's place. */
  isSilent(member: ReplicaMember): boolean;
  /** Whether a learner has been silent for so long that it is removed. */
  isLost(member: ReplicaMember): boolean;
}

/**
 * Chooses the next change of the members, if one is needed.
 *
 * A voter stops voting only after its replacement has been promoted, so that a
 * replacement never lowers the number of voters below the target. Unless it is
 * being retired it becomes a learner, which still receives the log: if it was
 * only slow or is back soon, it can take over again at once.
 */
export function nextVoterChange(
  replicas: ReplicaSet,
  view: IReplicaSetView,
): IVoterChange | undefined {
  const { voters, learners } = replicas;
  const reasonToLeave = (member: ReplicaMember) => {
    if (view.isSilent(member)) return "it is silent";
    if (view.isStopping(member)) return "its process is stopping";
    return view.isRetiring(member) ? "it is being retired" : undefined;
  };
  const leaving = voters.filter((it) => reasonToLeave(it) !== undefined);
  const replacement = selectReplacement(replicas, { view, leaving });
  // A change that no quorum stores would only raise the number of votes needed.
  const answering = 1 + voters.filter((it) => !view.isSilent(it)).length;
  const isCommittable = answering > (voters.length + 1) / 2;
  if (
    replacement && isCommittable &&
    voters.length - leaving.length < view.targetVoters
  ) {
    const reason = "a voter is missing";
    return { action: "promote", member: replacement, reason };
  }
  if (voters.length > view.targetVoters) {
    // Voters that still answer leave last.
    const [first] = leaving.length > 0
      ? [...leaving].sort((a, b) =>
        Number(view.isSilent(b)) - Number(view.isSilent(a))
      )
      : voters.filter(({ storage }) => storage !== view.leader).reverse();
    if (!first) return undefined;
    return {
      action: first.storage === view.leader
        ? "hand-over"
        : view.isRetiring(first)
        ? "remove"
        : "demote",
      member: first,
      reason: reasonToLeave(first) ?? "there are too many voters",
    };
  }
  const unneeded = learners.find((it) =>
    (view.isRetiring(it) || view.isLost(it)) && !it.promote
  );
  return unneeded && {
    action: "remove",
    member: unneeded,
    reason: view.isRetiring(unneeded) ? "it is being retired" : "it is silent",
  };
}

/**
 * Returns a learner that can vote at once. One in a failure domain with few
 * other voters is preferred.
 */
function selectReplacement(
  { voters, learners }: ReplicaSet,
  options: { view: IReplicaSetView; leaving: readonly ReplicaMember[] },
): ReplicaMember | undefined {
  const { view, leaving } = options;
  const remaining = voters.filter((voter) => !leaving.includes(voter));
  const neighbours = ({ failureDomain }: ReplicaMember) =>
    remaining.filter((voter) => voter.failureDomain === failureDomain).length;
  return learners
    .filter((it) =>
      !view.isRetiring(it) && !view.isStopping(it) && view.isCaughtUp(it)
    )
    .sort((a, b) => neighbours(a) - neighbours(b))[0];
}
