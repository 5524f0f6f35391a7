import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const connectionSilent = defineEvent(300, "connection-silent", {
  level: "warn",
  help:
    "No data arrived on a connection to a peer while calls were pending, and " +
    "the peer answered on a new connection. The new connection replaces the " +
    "old one; the peer is not considered down.",
  fields: { peer: z.string(), address: z.string(), pendingCalls: z.number() },
});

export const frameRejected = defineEvent(301, "frame-rejected", {
  level: "warn",
  help: "A peer sent bytes that are not a valid message; its connection was " +
    "closed. Check that only figroad instances connect to the peer port.",
  fields: { address: z.string(), reason: z.string() },
});

export const peerSilent = defineEvent(302, "peer-silent", {
  level: "warn",
  help: "Calls are pending on a silent connection, and the peer did not " +
    "answer on a new connection either: it is stopped, overloaded or " +
    "unreachable. The calls wait until their deadlines.",
  fields: { peer: z.string(), address: z.string(), pendingCalls: z.number() },
});

export const slowReaderClosed = defineEvent(303, "slow-reader-closed", {
  level: "warn",
  help: "A peer did not read its responses in time; its connection was closed.",
  fields: { address: z.string(), bufferedBytes: z.number() },
});

export const otherFleetRefused = defineEvent(304, "other-fleet-refused", {
  level: "warn",
  help: "An instance of another fleet called this instance; the call was " +
    "refused. Check the addresses under voters in the caller's settings.",
  fields: { from: z.string(), fleet: z.string() },
});

export const callsExpired = defineEvent(305, "calls-expired", {
  level: "warn",
  help: "Calls of other instances waited here until their callers had given " +
    "them up, and were not handled: this instance is overloaded. `count` is " +
    "their number since the last such line; one line a second at most.",
  fields: { method: z.string(), count: z.number(), waiting: z.number() },
});

export const answersLate = defineEvent(306, "answers-late", {
  level: "warn",
  help: "Answers of a peer came after their calls had been given up, and " +
    "were dropped: the peer or the network is slow.",
  fields: { peer: z.string(), count: z.number() },
});
