import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { entrySchema } from "./entry.ts";
import { replicaMemberSchema, replicaSetSchema } from "./replica_set.ts";
import { logStatusSchema, memberStatusSchema } from "./types.ts";

/** Names of files in a snapshot: relative paths without `..`. */
const FILE_NAME = /^(?!.*\.\.)[A-Za-z0-9_-][A-Za-z0-9._/-]*$/;

/** A term, an index of the log, or an offset in a file. */
const positionSchema = z.int().nonnegative();

/** Proposes a command; answered by the leader only. */
export const proposeMethod = defineMethod("consensus.propose", {
  params: z.object({ section: z.string(), command: z.unknown() }),
  result: z.object({ output: z.unknown() }),
});

/** Reports the state of a replica. */
export const statusMethod = defineMethod("consensus.status", {
  params: z.object({}),
  result: logStatusSchema,
});

/** Reports the state of the leader; answered by the leader only. */
export const leaderStatusMethod = defineMethod("consensus.leader-status", {
  params: z.object({}),
  result: logStatusSchema,
});

/** Announcement that a leader sends about itself. */
export const leaderAnnouncementSchema = z.object({
  /** Identifier of the leading instance. */
  leader: z.string(),
  term: positionSchema,
  voters: z.array(memberStatusSchema),
});
export type LeaderAnnouncement = z.infer<typeof leaderAnnouncementSchema>;

/** Announces the leader to an instance, which need not be a member. */
export const announceLeaderMethod = defineMethod("consensus.announce-lead", {
  params: leaderAnnouncementSchema,
  result: z.object({}),
});

/** Header of every message between replicas. */
export const replicaMessageHeaderSchema = z.object({
  /** Identity of the log. */
  cluster: z.string(),
  /** Storage identity of the replica to which the message is addressed. */
  to: z.string(),
  /** Storage identity of the sender. */
  from: z.string(),
  term: positionSchema,
});
export type ReplicaMessageHeader = z.infer<typeof replicaMessageHeaderSchema>;

/** Requests a vote. */
export const voteMethod = defineMethod("consensus.vote", {
  params: replicaMessageHeaderSchema.extend({
    /** Asks whether a vote would be granted, without a change of term. */
    preVote: z.boolean(),
    /** Whether the candidate runs because the leader asked it to take over. */
    transfer: z.boolean(),
    lastIndex: positionSchema,
    lastTerm: positionSchema,
  }),
  result: z.object({ term: positionSchema, granted: z.boolean() }),
});
export type VoteParams = z.infer<typeof voteMethod.params>;

/** Sends entries, or none as a heartbeat. */
export const appendMethod = defineMethod("consensus.append", {
  params: replicaMessageHeaderSchema.extend({
    /** Identifier of the leading instance. */
    leader: z.string(),
    prevIndex: positionSchema,
    prevTerm: positionSchema,
    entries: z.array(entrySchema),
    commitIndex: positionSchema,
  }),
  result: z.object({
    term: positionSchema,
    accepted: z.boolean(),
    /** Last durable index; if not accepted, the index after which to retry. */
    index: positionSchema,
  }),
});
export type AppendParams = z.infer<typeof appendMethod.params>;
export type AppendResult = z.infer<typeof appendMethod.result>;

/** Sends a chunk of a file of a snapshot. */
export const snapshotChunkMethod = defineMethod("consensus.snapshot-chunk", {
  params: replicaMessageHeaderSchema.extend({
    leader: z.string(),
    /** Identifier of the transfer; a new identifier starts it over. */
    transfer: z.string(),
    /** Position of the snapshot in the log. */
    index: positionSchema,
    indexTerm: positionSchema,
    /** Name of the file below the data folder. */
    file: z.string().regex(FILE_NAME),
    offset: positionSchema,
    /** Bytes of the file, in base64. */
    bytes: z.string(),
    /** Set with the last chunk of the last file. */
    last: z.boolean(),
  }),
  result: z.object({ term: positionSchema, accepted: z.boolean() }),
});
export type SnapshotChunkParams = z.infer<typeof snapshotChunkMethod.params>;

/** Asks a voter to start an election at once. */
export const takeOverMethod = defineMethod("consensus.take-over", {
  params: replicaMessageHeaderSchema,
  result: z.object({ accepted: z.boolean() }),
});

/** Asks a replica for its identity and for the log that it belongs to. */
export const helloMethod = defineMethod("consensus.hello", {
  params: z.object({}),
  result: z.object({
    id: z.string(),
    storage: z.string(),
    cluster: z.string().optional(),
    founders: z.array(replicaMemberSchema).optional(),
  }),
});
export type Hello = z.infer<typeof helloMethod.result>;

/** Asks the leader to add the sender as a learner. */
export const joinMethod = defineMethod("consensus.join", {
  params: z.object({ member: replicaMemberSchema }),
  result: z.object({ cluster: z.string() }),
});

/**
 * Asks the leader to replace a voter whose process is about to end; answered
 * once it is no longer a voter, or when no learner can take its place.
 */
export const leaveMethod = defineMethod("consensus.leave", {
  params: z.object({
    /** Storage identity of the member. */
    storage: z.string(),
  }),
  result: z.object({ isReplaced: z.boolean() }),
});

/** Change of the members that an operator requests. */
export const replicaChangeSchema = z.discriminatedUnion("action", [
  z.object({
    action: z.literal("add"),
    voter: z.object({
      id: z.string(),
      address: z.string(),
      port: z.number(),
      failureDomain: z.string(),
    }),
  }),
  z.object({ action: z.literal("promote"), voter: idSchema() }),
  z.object({ action: z.literal("remove"), voter: idSchema() }),
  z.object({ action: z.literal("transfer"), voter: idSchema().optional() }),
]);
export type ReplicaChange = z.infer<typeof replicaChangeSchema>;

/** Changes the members; answered by the leader only. */
export const changeReplicasMethod = defineMethod("consensus.change-replicas", {
  params: replicaChangeSchema,
  result: replicaSetSchema,
});

function idSchema() {
  return z.object({ id: z.string() });
}
