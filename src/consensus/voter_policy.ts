import type { ReplicaMember, ReplicaSet } from "./replica_set.ts";

/** One change of the members that brings the voters closer to the policy. */
export interface IVoterChange {
  readonly action: "promote" | "remove" | "hand-over";
  readonly member: ReplicaMember;
  readonly reason: string;
}

/** Leader's view of the members. */
export interface IReplicaSetView {
  readonly targetVoters: number;
  /** Storage identity of the leader. */
  readonly leader: string;
  isRetiring(member: ReplicaMember): boolean;
  isCaughtUp(member: ReplicaMember): boolean;
  isLost(member: ReplicaMember): boolean;
}

/**
 * Chooses the next change of the members, if one is needed.
 *
 * A voter is removed only after its replacement has been promoted, so that a
 * replacement never lowers the number of voters below the target.
 */
export function nextVoterChange(
  replicas: ReplicaSet,
  view: IReplicaSetView,
): IVoterChange | undefined {
  const { voters, learners } = replicas;
  const isLeaving = (member: ReplicaMember) =>
    view.isRetiring(member) || view.isLost(member);
  const reasonFor = (member: ReplicaMember) =>
    view.isRetiring(member) ? "it is being retired" : "it is silent";
  const replacement = learners.find((it) =>
    !isLeaving(it) && view.isCaughtUp(it)
  );
  const leaving = voters.filter(isLeaving);
  if (replacement && voters.length - leaving.length < view.targetVoters) {
    const reason = "a voter is missing";
    return { action: "promote", member: replacement, reason };
  }
  if (voters.length > view.targetVoters) {
    const [first] = leaving.length > 0 ? leaving : voters
      .filter(({ storage }) => storage !== view.leader).reverse();
    if (!first) return undefined;
    const isLeader = first.storage === view.leader;
    const reason = leaving.length > 0
      ? reasonFor(first)
      : "there are too many voters";
    return {
      action: isLeader ? "hand-over" : "remove",
      member: first,
      reason,
    };
  }
  const unneeded = learners.find((it) => isLeaving(it) && !it.promote);
  return unneeded &&
    { action: "remove", member: unneeded, reason: reasonFor(unneeded) };
}
