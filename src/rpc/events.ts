import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const connectionSilent = defineEvent(300, "connection-silent", {
  level: "warn",
  help:
    "A connection to a peer carried nothing while calls waited on it. It was " +
    "closed; the next call opens a new one. The peer is not considered down.",
  fields: { peer: z.string(), address: z.string(), pendingCalls: z.number() },
});

export const frameRejected = defineEvent(301, "frame-rejected", {
  level: "warn",
  help: "A peer sent bytes that are no valid message; its connection was " +
    "closed. Check that only figroad instances use the peer port.",
  fields: { address: z.string(), reason: z.string() },
});
