import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const leaderElected = defineEvent(400, "leader-elected", {
  level: "info",
  help: "This replica was elected leader of the replicated control log.",
  fields: { term: z.number(), lastIndex: z.number() },
});

export const leadershipLost = defineEvent(401, "leadership-lost", {
  level: "warn",
  help: "This replica no longer leads the control log. Another voter takes " +
    "over within seconds if a quorum is connected.",
  fields: { term: z.number(), reason: z.string() },
});

export const replicaFailed = defineEvent(402, "replica-failed", {
  level: "error",
  help: "This replica has stopped because its disk failed or its data is " +
    "inconsistent; it acknowledges no writes. After a failed write it is " +
    "opened again when the disk works, see replica-reopened; otherwise the " +
    "process ends. If the data is lost, empty the data folder: the replica " +
    "then rejoins as a learner.",
  fields: { reason: z.string() },
});

export const replicaReopened = defineEvent(416, "replica-reopened", {
  level: "warn",
  help: "The disk works again, and this replica takes part in the log again.",
  fields: { milliseconds: z.number() },
});

export const tailCut = defineEvent(403, "log-tail-cut", {
  level: "warn",
  help: "The log ended with an incomplete write, as after a crash. The write " +
    "was never acknowledged and has been truncated.",
  fields: { bytes: z.number() },
});

export const logFounded = defineEvent(404, "log-founded", {
  level: "info",
  help: "All voters in the settings have answered and start a new control log.",
  fields: { cluster: z.string(), voters: z.array(z.string()) },
});

export const foundingWaits = defineEvent(405, "founding-waits", {
  level: "warn",
  help: "The data folder is empty and not all voters in the settings answer. " +
    "A new log is created once all of them have answered; an existing log " +
    "is joined once one of its members answers.",
  fields: { missing: z.array(z.string()) },
});

export const joiningLog = defineEvent(406, "joining-log", {
  level: "warn",
  help: "The data folder is empty, but the log exists. This instance asks " +
    "to join as a learner under a new storage identity.",
  fields: { storage: z.string() },
});

export const joinRefused = defineEvent(407, "join-refused", {
  level: "warn",
  help: "This instance could not join the log as a learner; it retries. The " +
    "reason says what to do.",
  fields: { reason: z.string() },
});

export const replicasChanged = defineEvent(408, "replicas-changed", {
  level: "info",
  help: "The members of the control log have changed.",
  fields: {
    index: z.number(),
    voters: z.array(z.string()),
    learners: z.array(z.string()),
  },
});

export const snapshotTaken = defineEvent(409, "snapshot-taken", {
  level: "info",
  help: "The replicated state was saved; older log entries are removed.",
  fields: {
    index: z.number(),
    bytes: z.number(),
    milliseconds: z.number(),
    /** Part of the time in which no entry was applied. */
    captureMilliseconds: z.number(),
  },
});

export const entriesAppliedLate = defineEvent(418, "entries-applied-late", {
  level: "warn",
  help: "Committed entries waited long until they were applied here. Until " +
    "then, this instance answers from an older state than others may have.",
  fields: { index: z.number(), milliseconds: z.number() },
});

export const snapshotFailed = defineEvent(410, "snapshot-failed", {
  level: "warn",
  help: "A section could not capture its state. The log is not compacted and " +
    "grows until a later snapshot succeeds.",
  fields: { section: z.string(), reason: z.string() },
});

export const snapshotInstalled = defineEvent(411, "snapshot-installed", {
  level: "info",
  help: "This replica needed entries that the leader had already compacted, " +
    "and installed the leader's snapshot.",
  fields: { index: z.number(), bytes: z.number() },
});

export const otherLog = defineEvent(412, "other-log", {
  level: "error",
  help: "A message from a replica of another log was rejected. Two logs were " +
    "created with these addresses; empty the data folder of the instance " +
    "that does not belong to this log.",
  fields: { from: z.string(), cluster: z.string() },
});

export const joinedAgain = defineEvent(414, "joined-again", {
  level: "info",
  help: "The leader had removed this replica while it was down or " +
    "disconnected; it has rejoined as a learner.",
  fields: { storage: z.string() },
});

export const voterReplaced = defineEvent(415, "voter-replaced", {
  level: "info",
  help: "The leader changes the members automatically, to maintain the " +
    "number of voters.",
  fields: { action: z.string(), member: z.string(), reason: z.string() },
});

export const leavingEnded = defineEvent(419, "leaving-ended", {
  level: "info",
  help: "This instance stops. If another replica votes in its place, the log " +
    "tolerates as many losses as before; otherwise no learner could vote, or " +
    "no leader was known.",
  fields: { isReplaced: z.boolean(), milliseconds: z.number() },
});

export const syncSlow = defineEvent(413, "sync-slow", {
  level: "warn",
  help: "A write to the control log was slow. Commits are delayed if this " +
    "happens on a quorum.",
  fields: { milliseconds: z.number() },
});

export const peerEntriesLost = defineEvent(417, "peer-entries-lost", {
  level: "error",
  help:
    "A replica lacks entries that it had confirmed as durable; the leader " +
    "sends them again. Check the disk of that replica.",
  fields: {
    peer: z.string(),
    confirmedIndex: z.number(),
    retryIndex: z.number(),
  },
});
