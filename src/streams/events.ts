import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const requestPlaced = defineEvent(1100, "request-placed", {
  level: "info",
  help: "A request was sent to an engine. `live` and `bulk` are the load of " +
    "the engine when it was chosen.",
  fields: {
    request: z.string(),
    route: z.string(),
    service: z.string(),
    engine: z.string(),
    attempt: z.number(),
    live: z.number(),
    bulk: z.number(),
    waitMilliseconds: z.number(),
    caller: z.string().optional(),
    /**
     * Why the request left this failure domain: it has no usable engine, or
     * none that costs less. Absent if it stayed.
     */
    crossing: z.enum(["no-engine", "no-slot"]).optional(),
    /** The leader, or this instance while no leader was reachable. */
    chosenBy: z.enum(["leader", "instance"]),
    /** Version of the engine's software. */
    softwareVersion: z.string(),
    lastEventId: z.string().optional(),
    /** Attempt of the caller in which the resumed stream began. */
    resumedRequest: z.string().optional(),
    /** Whether the request resumes a stream that another engine began. */
    isResumed: z.boolean(),
  },
  labels: ["service", "chosenBy", "isResumed", "crossing"],
});

export const requestRefused = defineEvent(1101, "request-refused", {
  level: "info",
  help: "A request was refused at once because no engine could take it or no " +
    "slot was expected to become free in time. It did not run. The caller " +
    "was told when to retry.",
  fields: {
    request: z.string(),
    route: z.string(),
    service: z.string(),
    reason: z.string(),
    retryMilliseconds: z.number(),
    remainingMilliseconds: z.number(),
    engines: z.number(),
    live: z.number(),
    bulk: z.number(),
    caller: z.string().optional(),
    /** Limit of the caller, if it has one. */
    callerPerSecond: z.number().optional(),
    callerBurst: z.number().optional(),
    /** Version of the routes with this limit. */
    routesVersion: z.number().optional(),
    /** Requests of the caller in progress at this instance. */
    callerInProgress: z.number().optional(),
  },
  labels: ["service", "reason"],
});

export const attemptFailed = defineEvent(1102, "attempt-failed", {
  level: "warn",
  help: "An attempt at an engine failed. The verdict says whether the " +
    "request may have run there.",
  fields: {
    request: z.string(),
    engine: z.string(),
    attempt: z.number(),
    verdict: z.string(),
    reason: z.string(),
    /** What is at fault; the links are those of this instance. */
    fault: z.enum(["engine", "connection", "own-links", "relay", "none"]),
    /** Prompt parts that the request shares with others. */
    promptParts: z.array(z.string()),
    /** Hash of the request, the same each time its caller repeats it. */
    content: z.string().optional(),
    lastEventId: z.string().optional(),
    milliseconds: z.number(),
  },
  labels: ["verdict", "fault"],
});

export const requestAnswered = defineEvent(1103, "request-answered", {
  level: "info",
  help: "An engine's answer was forwarded completely.",
  fields: {
    request: z.string(),
    engine: z.string(),
    status: z.number(),
    attempts: z.number(),
    firstMilliseconds: z.number(),
    milliseconds: z.number(),
  },
  labels: ["status"],
});

export const requestFailed = defineEvent(1104, "request-failed", {
  level: "warn",
  help: "A request ended without a complete answer from an engine.",
  fields: {
    request: z.string(),
    kind: z.string(),
    reason: z.string(),
    hadBegun: z.boolean(),
    milliseconds: z.number(),
  },
  labels: ["kind", "hadBegun"],
});

export const callerLeft = defineEvent(1105, "caller-left", {
  level: "info",
  help: "The caller closed its connection before its answer was complete; " +
    "the engine's work was stopped.",
  fields: { request: z.string(), milliseconds: z.number() },
});
