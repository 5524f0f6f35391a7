import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const daemonStarted = defineEvent(100, "daemon-started", {
  level: "info",
  help: "The daemon listens on the given ports.",
  fields: { callers: z.number(), peers: z.number(), operators: z.number() },
});

export const daemonStopping = defineEvent(101, "daemon-stopping", {
  level: "info",
  help: "The daemon was told to stop: it takes no new requests, finishes " +
    "those in progress and exits.",
  fields: { signal: z.string() },
});

export const daemonStopped = defineEvent(102, "daemon-stopped", {
  level: "info",
  help: "The daemon finished its work and exits.",
  fields: {},
});

export const stopStep = defineEvent(103, "stop-step", {
  level: "info",
  help: "A step of a planned stop ended: completed, or given up in order to " +
    "end in time.",
  fields: { step: z.string(), completed: z.boolean() },
});

export const stopLimitReached = defineEvent(104, "stop-limit-reached", {
  level: "warn",
  help:
    "Requests were still in progress at the stop's time limit and are cut " +
    "off. Raise stopping.limitMilliseconds above the longest request.",
  fields: { requests: z.number() },
});
