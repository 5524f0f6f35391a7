import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { entrySchema } from "./entry.ts";
import { replicaMemberSchema, replicaSetSchema } from "./replica_set.ts";
import { logStatusSchema, memberStatusSchema } from "./types.ts";

/** Names of files in a snapshot: paths without a step upwards. */
const FILE_NAME = /^(?!.*\.\.)[A-Za-z0-9_-][A-Za-z0-9._/-]*$/;

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

/** Who leads, as the leader itself says. */
export const leaderAnnouncementSchema = z.object({
  /** Identifier of the leading instance. */
  leader: z.string(),
  term: z.number(),
  voters: z.array(memberStatusSchema),
});
export type LeaderAnnouncement = z.infer<typeof leaderAnnouncementSchema>;

/** Tells an instance, member of the log or not, who leads. */
export const announceLeaderMethod = defineMethod("consensus.announce-lead", {
  params: leaderAnnouncementSchema,
  result: z.object({}),
});

/** Head of every message between replicas. */
export const replicaMessageHeaderSchema = z.object({
  /** Identity of the log. */
  cluster: z.string(),
  /** Storage identity of the replica that is meant. */
  to: z.string(),
  /** Storage identity of the sender. */
  from: z.string(),
  term: z.number(),
});
export type ReplicaMessageHeader = z.infer<typeof replicaMessageHeaderSchema>;

/** Asks for a vote. */
export const voteMethod = defineMethod("consensus.vote", {
  params: replicaMessageHeaderSchema.extend({
    /** Asks whether a vote would be given, without a change of term. */
    preVote: z.boolean(),
    /** The leader itself asked the candidate to take over. */
    transfer: z.boolean(),
    lastIndex: z.number(),
    lastTerm: z.number(),
  }),
  result: z.object({ term: z.number(), granted: z.boolean() }),
});
export type VoteParams = z.infer<typeof voteMethod.params>;

/** Sends entries, or none as a heartbeat. */
export const appendMethod = defineMethod("consensus.append", {
  params: replicaMessageHeaderSchema.extend({
    /** Identifier of the leading instance. */
    leader: z.string(),
    prevIndex: z.number(),
    prevTerm: z.number(),
    entries: z.array(entrySchema),
    commitIndex: z.number(),
  }),
  result: z.object({
    term: z.number(),
    accepted: z.boolean(),
    /** Durable up to here, or where to try again if not accepted. */
    index: z.number(),
  }),
});
export type AppendParams = z.infer<typeof appendMethod.params>;
export type AppendResult = z.infer<typeof appendMethod.result>;

/** Sends a part of a file of a snapshot. */
export const snapshotChunkMethod = defineMethod("consensus.snapshot-chunk", {
  params: replicaMessageHeaderSchema.extend({
    leader: z.string(),
    /** Identifier of the transfer; a new one begins from the start. */
    transfer: z.string(),
    /** Position of the snapshot in the log. */
    index: z.number(),
    indexTerm: z.number(),
    /** Name of the file below the data folder. */
    file: z.string().regex(FILE_NAME),
    offset: z.number(),
    /** Bytes of the file, in base64. */
    bytes: z.string(),
    /** Set with the last part of the last file. */
    last: z.boolean(),
  }),
  result: z.object({ term: z.number(), accepted: z.boolean() }),
});
export type SnapshotChunkParams = z.infer<typeof snapshotChunkMethod.params>;

/** Asks the target to stand for election at once. */
export const takeOverMethod = defineMethod("consensus.take-over", {
  params: replicaMessageHeaderSchema,
  result: z.object({ accepted: z.boolean() }),
});

/** Asks a replica who it is and which log it belongs to. */
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

/** Asks the leader to take the caller in as a learner. */
export const joinMethod = defineMethod("consensus.join", {
  params: z.object({ member: replicaMemberSchema }),
  result: z.object({ cluster: z.string() }),
});

/** Change of the members that an operator orders. */
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
