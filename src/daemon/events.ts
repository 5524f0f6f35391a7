import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const daemonStarted = defineEvent(100, "daemon-started", {
  level: "info",
  help: "The daemon is listening on the given ports.",
  fields: { callers: z.number(), peers: z.number(), operators: z.number() },
});

export const daemonStopping = defineEvent(101, "daemon-stopping", {
  level: "info",
  help: "The daemon received a stop signal. It reports that it is not ready, " +
    "finishes the requests in progress and exits.",
  fields: { signal: z.string() },
});

export const daemonStopped = defineEvent(102, "daemon-stopped", {
  level: "info",
  help: "The daemon has stopped and exits.",
  fields: {},
});

export const stopStep = defineEvent(103, "stop-step", {
  level: "info",
  help:
    "A step of a planned stop ended. It either completed, or failed or was " +
    "abandoned at its time limit.",
  fields: { step: z.string(), completed: z.boolean() },
});

export const stopLimitReached = defineEvent(104, "stop-limit-reached", {
  level: "warn",
  help: "Requests were still in progress at the time limit of a stop and are " +
    "cut off. Raise stopping.limitMilliseconds above the longest request.",
  fields: { requests: z.number() },
});
