import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const connectionSilent = defineEvent(300, "connection-silent", {
  level: "warn",
  help:
    "A connection to a peer carried nothing while calls waited on it, and a " +
    "new connection was answered. The new one took its place; the peer is " +
    "not considered down.",
  fields: { peer: z.string(), address: z.string(), pendingCalls: z.number() },
});

export const frameRejected = defineEvent(301, "frame-rejected", {
  level: "warn",
  help: "A peer sent bytes that are no valid message; its connection was " +
    "closed. Check that only figroad instances use the peer port.",
  fields: { address: z.string(), reason: z.string() },
});

export const peerSilent = defineEvent(302, "peer-silent", {
  level: "warn",
  help: "Calls wait on a silent connection, and a new connection to the peer " +
    "was not answered either: the peer is stopped, overloaded or cut off. " +
    "Its calls run to their deadlines.",
  fields: { peer: z.string(), address: z.string(), pendingCalls: z.number() },
});

export const slowReaderClosed = defineEvent(303, "slow-reader-closed", {
  level: "warn",
  help: "A peer did not read its answers; its connection was closed.",
  fields: { address: z.string(), bufferedBytes: z.number() },
});

export const otherFleetRefused = defineEvent(304, "other-fleet-refused", {
  level: "warn",
  help: "An instance of another fleet called this one and was refused. " +
    "Check the addresses under voters in its settings.",
  fields: { from: z.string(), fleet: z.string() },
});
