import type { ReplicaMember, ReplicaSet } from "./replica_set.ts";

/** One change of the members that brings their number closer to the target. */
export interface IUpkeepStep {
  readonly action: "promote" | "remove" | "hand-over";
  readonly member: ReplicaMember;
  readonly reason: string;
}

/** What the leader knows of the members. */
export interface IUpkeepView {
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
 * A voter leaves only after another one has taken its place, so that the
 * number of voters never falls below the target through a replacement.
 */
export function nextUpkeepStep(
  replicas: ReplicaSet,
  view: IUpkeepView,
): IUpkeepStep | undefined {
  const { voters, learners } = replicas;
  const isLeaving = (member: ReplicaMember) =>
    view.isRetiring(member) || view.isLost(member);
  const why = (member: ReplicaMember) =>
    view.isRetiring(member) ? "it is being emptied" : "it is silent";
  const spare = learners.find((it) => !isLeaving(it) && view.isCaughtUp(it));
  const leaving = voters.filter(isLeaving);
  if (spare && voters.length - leaving.length < view.targetVoters) {
    const reason = "a voter is missing";
    return { action: "promote", member: spare, reason };
  }
  if (voters.length > view.targetVoters) {
    const [first] = leaving.length > 0 ? leaving : voters
      .filter(({ storage }) => storage !== view.leader).reverse();
    if (!first) return undefined;
    const isLeader = first.storage === view.leader;
    const reason = leaving.length > 0 ? why(first) : "there are too many";
    return {
      action: isLeader ? "hand-over" : "remove",
      member: first,
      reason,
    };
  }
  const unneeded = learners.find((it) => isLeaving(it) && !it.promote);
  return unneeded &&
    { action: "remove", member: unneeded, reason: why(unneeded) };
}
