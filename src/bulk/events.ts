import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const jobAccepted = defineEvent(1150, "bulk-job-accepted", {
  level: "info",
  help: "A job was committed to the replicated log and is durable from now on.",
  fields: { request: z.string(), items: z.number(), path: z.string() },
});

export const jobRefused = defineEvent(1159, "bulk-job-refused", {
  level: "info",
  help: "A job was refused before anything was written to the replicated " +
    "log, because its tokens and those of its caller that wait on its route " +
    "exceed the route's limit. The limit comes from the routes with the given version.",
  fields: {
    request: z.string(),
    route: z.string(),
    caller: z.string().optional(),
    tokens: z.number(),
    waitingTokens: z.number(),
    limit: z.number(),
    routesVersion: z.number(),
    retryMilliseconds: z.number().optional(),
  },
  labels: ["route"],
});

export const jobWithoutSpace = defineEvent(1161, "bulk-job-without-space", {
  level: "warn",
  help: "A job was refused before anything was written to the replicated " +
    "log, because the items that wait are too many, or their requests fill " +
    "the space that stores have for them. Engines that answer too slowly for the jobs that " +
    "arrive are the usual cause.",
  fields: {
    request: z.string(),
    bytes: z.number(),
    usedBytes: z.number(),
    maximumBytes: z.number(),
    items: z.number(),
    waitingItems: z.number(),
    maximumItems: z.number(),
    retryMilliseconds: z.number().optional(),
  },
});

export const submissionsBusy = defineEvent(1162, "bulk-submissions-busy", {
  level: "warn",
  help: "A job was refused because the jobs that are being submitted at the " +
    "same time hold all memory that the leader has for them.",
  fields: { request: z.string(), bytes: z.number() },
});

export const jobEnded = defineEvent(1151, "bulk-job-ended", {
  level: "info",
  help: "The caller ended a job; its items no longer run.",
  fields: { request: z.string() },
});

export const itemStarted = defineEvent(1152, "bulk-item-started", {
  level: "info",
  help: "An item was sent to an engine with a free slot.",
  fields: {
    request: z.string(),
    job: z.string(),
    engine: z.string(),
    live: z.number(),
    bulk: z.number(),
    /** Version of the engine's software. */
    softwareVersion: z.string(),
    lastEventId: z.string().optional(),
    /** Store that runs the item, if it is not the leader. */
    store: z.string().optional(),
  },
});

export const itemRestarted = defineEvent(1160, "bulk-item-restarted", {
  level: "info",
  help: "An item starts again without its progress, because no engine of the " +
    "software version that made the progress could run it. Events of two " +
    "versions do not fit together.",
  fields: {
    request: z.string(),
    job: z.string(),
    /** Software version that made the progress. */
    from: z.string().optional(),
    /** Software version of the engine of the next run. */
    to: z.string(),
    /** Number of events that were discarded. */
    events: z.number(),
  },
});

export const itemYielded = defineEvent(1153, "bulk-item-yielded", {
  level: "info",
  help: "An item was preempted by live requests; it resumes later after the " +
    "last event it has received.",
  fields: {
    request: z.string(),
    job: z.string(),
    engine: z.string(),
    live: z.number(),
    bulk: z.number(),
    lastEventId: z.string().optional(),
    /** Store that runs the item, if it is not the leader. */
    store: z.string().optional(),
  },
});

export const itemFailed = defineEvent(1154, "bulk-item-failed", {
  level: "warn",
  help: "A run of an item failed. The item runs again later, or is marked as " +
    "dead after too many failures.",
  fields: {
    request: z.string(),
    job: z.string(),
    engine: z.string(),
    reason: z.string(),
    failures: z.number(),
  },
});

export const itemRecorded = defineEvent(1155, "bulk-item-recorded", {
  level: "info",
  help: "An item's result was committed to the replicated log.",
  fields: {
    request: z.string(),
    job: z.string(),
    state: z.string(),
    reason: z.string(),
    sinceAcceptedMilliseconds: z.number(),
  },
  labels: ["state"],
});

export const jobsForgotten = defineEvent(1158, "bulk-jobs-forgotten", {
  level: "info",
  help: "Completed or ended jobs were deleted, because the time for which " +
    "they can be read has passed.",
  fields: { jobs: z.number() },
});

export const runnerStarted = defineEvent(1156, "bulk-runner-started", {
  level: "info",
  help:
    "This process has the role store and is the leader. It runs the items " +
    "of all jobs from now on.",
  fields: { openJobs: z.number() },
});

export const runnerStopped = defineEvent(1157, "bulk-runner-stopped", {
  level: "info",
  help: "This store no longer runs items; the next leader restarts those " +
    "that were running.",
  fields: { running: z.number() },
});

export const remoteRunEnded = defineEvent(1163, "bulk-remote-run-ended", {
  level: "info",
  help: "A run of an item at another store has ended. If the leader received " +
    "fewer lines of data than the store did, the item is not complete.",
  fields: {
    request: z.string(),
    run: z.string(),
    store: z.string(),
    outcome: z.string(),
    /** Lines of data that the leader holds of the run. */
    heldLines: z.number(),
    /** Lines of data that the store received in the run. */
    receivedLines: z.number(),
  },
});

export const reportOutOfOrder = defineEvent(1164, "bulk-report-out-of-order", {
  level: "info",
  help: "A store reported data of a run that the leader holds already, or " +
    "data after a gap. Reports arrive late or repeatedly after a partition.",
  fields: {
    request: z.string(),
    run: z.string(),
    store: z.string(),
    /** Lines of data before the reported ones. */
    from: z.number(),
    /** Number of reported lines. */
    lines: z.number(),
    /** Lines of data that the leader held before. */
    heldLines: z.number(),
  },
});

export const stopUnanswered = defineEvent(1165, "bulk-stop-unanswered", {
  level: "info",
  help: "A store did not answer the order to stop the run of an item, which " +
    "may therefore still use its slot at the engine.",
  fields: {
    request: z.string(),
    run: z.string(),
    store: z.string(),
    reason: z.string(),
  },
});
