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
