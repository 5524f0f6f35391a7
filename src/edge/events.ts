import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const roleStarted = defineEvent(1250, "role-started", {
  level: "info",
  help: "The process has started in the role given by its command line.",
  fields: {
    role: z.string(),
    machine: z.string(),
    failureDomain: z.string(),
    milliseconds: z.number(),
  },
});

export const roleStopping = defineEvent(1251, "role-stopping", {
  level: "info",
  help: "The process was asked to stop. It reports that it is not ready, " +
    "then takes no new connections and finishes what it has begun.",
  fields: { signal: z.string(), open: z.number() },
});

export const roleStopped = defineEvent(1252, "role-stopped", {
  level: "info",
  help: "The process ends; requests still open were cut off.",
  fields: { open: z.number(), milliseconds: z.number() },
});

export const settingsReloaded = defineEvent(1253, "settings-reloaded", {
  level: "info",
  help: "The settings file was read again.",
  fields: { cause: z.string(), seeds: z.array(z.string()) },
});

export const settingsUnreadable = defineEvent(1254, "settings-unreadable", {
  level: "error",
  help: "The settings file could not be read again; the settings read " +
    "before stay in force.",
  fields: { reason: z.string() },
});

export const readinessChanged = defineEvent(1255, "readiness-changed", {
  level: "info",
  help: "What this instance answers the balancer has changed.",
  fields: { isReady: z.boolean(), reason: z.string() },
});

export const requestRejected = defineEvent(1256, "request-rejected", {
  level: "info",
  help: "A request was answered without being sent to an engine.",
  fields: {
    request: z.string(),
    status: z.number(),
    reason: z.string(),
  },
  labels: ["status", "reason"],
});

export const edgeFailed = defineEvent(1257, "edge-failed", {
  level: "error",
  help: "A handler failed on a request; the fault is the program's own.",
  fields: { request: z.string(), reason: z.string() },
});

export const configurationOrdered = defineEvent(
  1258,
  "configuration-ordered",
  {
    level: "info",
    help: "An operator sent a configuration; the outcome says what became " +
      "of it.",
    fields: {
      version: z.number(),
      outcome: z.string(),
      reason: z.string(),
      milliseconds: z.number(),
    },
    labels: ["outcome"],
  },
);

export const logLinesLeftOut = defineEvent(1260, "log-lines-left-out", {
  level: "warn",
  help: "An event happened more often than its lines may be written; the " +
    "counters of the metrics include all of them.",
  fields: { of: z.string(), lines: z.number() },
});

export const roleFailed = defineEvent(1261, "role-failed", {
  level: "error",
  help: "The process cannot go on and ends, so that it is started again.",
  fields: { reason: z.string() },
});

export const jobCallAnswered = defineEvent(1259, "job-call-answered", {
  level: "info",
  help: "A caller's call about a job was answered.",
  fields: {
    request: z.string(),
    call: z.string(),
    status: z.number(),
    reason: z.string(),
    milliseconds: z.number(),
  },
  labels: ["call", "status"],
});
