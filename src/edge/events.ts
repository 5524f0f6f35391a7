import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const roleStarted = defineEvent(1250, "role-started", {
  level: "info",
  help: "The process has started in the role given on its command line.",
  fields: {
    role: z.string(),
    machine: z.string(),
    failureDomain: z.string(),
    milliseconds: z.number(),
  },
});

export const roleStopping = defineEvent(1251, "role-stopping", {
  level: "info",
  help: "The process received a signal to stop. It reports that it is not " +
    "ready, then accepts no new connections and finishes its open requests.",
  fields: { signal: z.string(), open: z.number() },
});

export const roleStopped = defineEvent(1252, "role-stopped", {
  level: "info",
  help: "The process exits. Requests that were still open were aborted.",
  fields: { open: z.number(), milliseconds: z.number() },
});

export const settingsReloaded = defineEvent(1253, "settings-reloaded", {
  level: "info",
  help: "The settings file was reloaded.",
  fields: { cause: z.string(), seeds: z.array(z.string()) },
});

export const settingsUnreadable = defineEvent(1254, "settings-unreadable", {
  level: "error",
  help: "The settings file could not be reloaded; the previous settings " +
    "remain in force.",
  fields: { reason: z.string() },
});

export const readinessChanged = defineEvent(1255, "readiness-changed", {
  level: "info",
  help: "The readiness that this instance reports to the load balancer has " +
    "changed.",
  fields: { isReady: z.boolean(), reason: z.string() },
});

export const requestRejected = defineEvent(1256, "request-rejected", {
  level: "info",
  help: "A request was answered without being sent to an engine.",
  fields: {
    request: z.string(),
    status: z.number(),
    reason: z.string(),
    /** Version of the routes that decided; 0 if none are known. */
    routesVersion: z.number(),
    /** Time since the leader confirmed that version as the newest. */
    confirmedMilliseconds: z.number().optional(),
  },
  labels: ["status", "reason"],
});

export const edgeFailed = defineEvent(1257, "edge-failed", {
  level: "error",
  help: "A request handler threw an unexpected error, which is a bug in the " +
    "program.",
  fields: { request: z.string(), reason: z.string() },
});

export const malformedRequest = defineEvent(1262, "malformed-request", {
  level: "warn",
  help: "A connection sent bytes that are no HTTP request, or no whole " +
    "request in time. It is closed, if possible after an answer.",
  fields: {
    status: z.number(),
    code: z.string(),
    reason: z.string(),
    isAnswered: z.boolean(),
    /** Bytes that the parser was given last. */
    bytes: z.number(),
  },
  labels: ["status", "code"],
});

export const configurationReceived = defineEvent(
  1263,
  "configuration-received",
  {
    level: "info",
    help: "An operator's configuration has arrived and is passed on to the " +
      "leader. A later configuration-ordered event has the outcome.",
    fields: { version: z.number(), from: z.string() },
  },
);

export const configurationAnswerLost = defineEvent(
  1264,
  "configuration-answer-lost",
  {
    level: "warn",
    help: "The operator's connection had closed before the outcome of a " +
      "configuration was known, so the operator did not receive it here.",
    fields: { version: z.number(), milliseconds: z.number() },
  },
);

export const configurationRead = defineEvent(1270, "configuration-read", {
  level: "info",
  help: "An operator read the configuration. The store answers from its own " +
    "copy if the leader confirms that it is current, else from the leader's.",
  fields: {
    outcome: z.enum(["answered", "failed"]),
    version: z.number(),
    isOwnCopy: z.boolean(),
    reason: z.string(),
    milliseconds: z.number(),
  },
  labels: ["outcome"],
});

export const configurationOrdered = defineEvent(
  1258,
  "configuration-ordered",
  {
    level: "info",
    help: "An operator submitted a configuration; the field outcome contains " +
      "the result.",
    fields: {
      version: z.number(),
      outcome: z.string(),
      reason: z.string(),
      milliseconds: z.number(),
    },
    labels: ["outcome"],
  },
);

export const bodiesTooLarge = defineEvent(1269, "bodies-too-large", {
  level: "warn",
  help:
    "A request was refused because the bodies of the requests in progress " +
    "take all memory that the instance has for them.",
  fields: { request: z.string(), bytes: z.number() },
});

export const logLinesLeftOut = defineEvent(1260, "log-lines-left-out", {
  level: "warn",
  help: "An event occurred more often than the rate limit of its log lines " +
    "allows. The metrics count all occurrences.",
  fields: { of: z.string(), lines: z.number() },
});

export const roleFailed = defineEvent(1261, "role-failed", {
  level: "error",
  help: "The process cannot continue and exits, so that it is restarted.",
  fields: { reason: z.string() },
});

export const jobCallAnswered = defineEvent(1259, "job-call-answered", {
  level: "info",
  help: "A caller's request about a batch job was answered.",
  fields: {
    request: z.string(),
    call: z.string(),
    status: z.number(),
    reason: z.string(),
    milliseconds: z.number(),
  },
  labels: ["call", "status"],
});
