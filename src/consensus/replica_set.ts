import { z } from "zod";
import { peerAddressSchema } from "../rpc/mod.ts";

/** A replica of the log: an instance together with its storage. */
export const replicaMemberSchema = peerAddressSchema.extend({
  failureDomain: z.string(),
  /**
   * Identity of the data folder. An instance that lost its folder rejoins
   * under a new one, so that votes it gave under the old one are never counted
   * again.
   */
  storage: z.string(),
  /** Whether a learner becomes a voter as soon as it has caught up. */
  promote: z.boolean(),
});
export type ReplicaMember = z.infer<typeof replicaMemberSchema>;

/** Members of the log; takes effect when its entry is appended. */
export const replicaSetSchema = z.object({
  voters: z.array(replicaMemberSchema),
  learners: z.array(replicaMemberSchema),
});
export type ReplicaSet = z.infer<typeof replicaSetSchema>;

/** Largest number of members, voters and learners together. */
export const MAXIMUM_MEMBERS = 7;

/** Number of voters that keep a quorum after that many are lost at once. */
export function votersFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

/** Number of voters that make a quorum. */
export function quorumSize(replicas: ReplicaSet): number {
  return Math.floor(replicas.voters.length / 2) + 1;
}

/** Voters and learners. */
export function allMembers(replicas: ReplicaSet): ReplicaMember[] {
  return [...replicas.voters, ...replicas.learners];
}

/** Whether the storage belongs to a voter. */
export function isVoter(replicas: ReplicaSet, storage: string): boolean {
  return replicas.voters.some((voter) => voter.storage === storage);
}

/**
 * Largest value that a quorum of voters has reached.
 *
 * @param reached returns the value of one voter.
 */
export function quorumValue(
  replicas: ReplicaSet,
  reached: (voter: ReplicaMember) => number,
): number {
  const values = replicas.voters.map(reached).sort((a, b) => b - a);
  return values[quorumSize(replicas) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** Returns the members without one. */
export function withoutMember(
  replicas: ReplicaSet,
  member: ReplicaMember,
): ReplicaSet {
  const isOther = (it: ReplicaMember) => it.storage !== member.storage;
  return {
    voters: replicas.voters.filter(isOther),
    learners: replicas.learners.filter(isOther),
  };
}
