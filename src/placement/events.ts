import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const engineSuspected = defineEvent(1050, "engine-suspected", {
  level: "warn",
  help: "A request failed by the engine's doing; the engine is avoided for a " +
    "while, longer with each failure in a row.",
  fields: { engine: z.string(), failures: z.number(), reason: z.string() },
});

export const engineTrusted = defineEvent(1051, "engine-trusted", {
  level: "info",
  help: "A suspected engine answers again.",
  fields: { engine: z.string() },
});

export const engineListChanged = defineEvent(1052, "engine-list-changed", {
  level: "info",
  help: "The list of engines differs from the one before.",
  fields: {
    revision: z.string(),
    engines: z.number(),
    leaving: z.number(),
    source: z.enum(["leader", "platform"]),
  },
});

export const engineListUnreadable = defineEvent(
  1053,
  "engine-list-unreadable",
  {
    level: "warn",
    help: "The platform's list of engines could not be read; the last one " +
      "stays in use.",
    fields: { reason: z.string(), ageMilliseconds: z.number() },
  },
);

export const leaderUnreachable = defineEvent(1054, "leader-unreachable", {
  level: "warn",
  help: "No leader answered the exchange of load. Requests are placed by " +
    "this instance's own load until one does.",
  fields: { reason: z.string() },
});

export const leaderReached = defineEvent(1055, "leader-reached", {
  level: "info",
  help: "The exchange of load with the leader works again.",
  fields: { silenceMilliseconds: z.number() },
});

export const probeFailed = defineEvent(1056, "engine-probe-failed", {
  level: "warn",
  help: "An engine that instances find failing does not answer its health " +
    "check either; all instances avoid it.",
  fields: { engine: z.string(), reason: z.string() },
});

export const clockCompared = defineEvent(1058, "clock-compared", {
  level: "info",
  help: "By how much the wall clock of the leader is ahead of this " +
    "instance's, from the times of a call. Written when it has changed, when " +
    "another instance leads, and once a minute.",
  fields: {
    peer: z.string(),
    offsetMilliseconds: z.number(),
    uncertaintyMilliseconds: z.number(),
  },
});

export const probeSucceeded = defineEvent(1057, "engine-probe-succeeded", {
  level: "info",
  help: "An avoided engine answers its health check again.",
  fields: { engine: z.string() },
});
