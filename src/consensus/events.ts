import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const leaderElected = defineEvent(400, "leader-elected", {
  level: "info",
  help: "This replica leads the control log from now on.",
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
  help:
    "This replica left the quorum, because its disk failed or its state is " +
    "broken; it acknowledges nothing until the daemon is started again. " +
    "Check the disk. If the data is lost, empty the data folder: the replica " +
    "then returns as a learner.",
  fields: { reason: z.string() },
});

export const tailCut = defineEvent(403, "log-tail-cut", {
  level: "warn",
  help: "The end of the log held an unfinished write, as a crash leaves it. " +
    "It was never acknowledged and has been cut off.",
  fields: { bytes: z.number() },
});

export const logFounded = defineEvent(404, "log-founded", {
  level: "info",
  help: "All voters of the settings have met and begin a new control log.",
  fields: { cluster: z.string(), voters: z.array(z.string()) },
});

export const foundingWaits = defineEvent(405, "founding-waits", {
  level: "warn",
  help: "The data folder is empty and not all voters of the settings answer. " +
    "A new log begins once all of them have answered; an existing log is " +
    "joined once one of its members answers.",
  fields: { missing: z.array(z.string()) },
});

export const joiningLog = defineEvent(406, "joining-log", {
  level: "warn",
  help: "The data folder is empty, but the log exists. This instance asks " +
    "for membership as a learner under a new identity.",
  fields: { storage: z.string() },
});

export const joinRefused = defineEvent(407, "join-refused", {
  level: "warn",
  help: "The leader does not take this instance as a learner now; it asks " +
    "again. The reason says what to do.",
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
  },
});

export const snapshotFailed = defineEvent(410, "snapshot-failed", {
  level: "warn",
  help: "A section could not capture its state. The log is kept and grows " +
    "until a later snapshot works.",
  fields: { section: z.string(), reason: z.string() },
});

export const snapshotInstalled = defineEvent(411, "snapshot-installed", {
  level: "info",
  help: "This replica had missed more than the leader's log holds and took " +
    "over a snapshot.",
  fields: { index: z.number(), bytes: z.number() },
});

export const otherLog = defineEvent(412, "other-log", {
  level: "error",
  help: "A replica of another log called. Two logs were founded with these " +
    "addresses; empty the data folder of the instance that does not belong.",
  fields: { from: z.string(), cluster: z.string() },
});

export const joinedAgain = defineEvent(414, "joined-again", {
  level: "info",
  help: "The others had removed this replica while it was away; it is a " +
    "learner again.",
  fields: { storage: z.string() },
});

export const voterReplaced = defineEvent(415, "voter-replaced", {
  level: "info",
  help: "The leader changed the members by itself, to keep the number of " +
    "voters.",
  fields: { action: z.string(), member: z.string(), reason: z.string() },
});

export const syncSlow = defineEvent(413, "sync-slow", {
  level: "warn",
  help: "A write to the control log took long. Commits wait if this holds " +
    "on a quorum.",
  fields: { milliseconds: z.number() },
});
