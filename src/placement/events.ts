import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const engineSuspected = defineEvent(1050, "engine-suspected", {
  level: "warn",
  help: "An engine failed a request. It is avoided for a time that doubles " +
    "with each failure in a row, up to a limit.",
  fields: { engine: z.string(), failures: z.number(), reason: z.string() },
});

export const engineTrusted = defineEvent(1051, "engine-trusted", {
  level: "info",
  help: "An engine that had been suspected answered a request.",
  fields: { engine: z.string() },
});

export const engineListChanged = defineEvent(1052, "engine-list-changed", {
  level: "info",
  help: "The list of engines changed.",
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
      "read remains in use.",
    fields: { reason: z.string(), ageMilliseconds: z.number() },
  },
);

export const leaderUnreachable = defineEvent(1054, "leader-unreachable", {
  level: "warn",
  help: "No leader answered the load exchange. Until one does, this instance " +
    "places requests by the load that it knows itself.",
  fields: { reason: z.string() },
});

export const leaderReached = defineEvent(1055, "leader-reached", {
  level: "info",
  help: "The load exchange with the leader succeeded again.",
  fields: { silenceMilliseconds: z.number() },
});

export const probeFailed = defineEvent(1056, "engine-probe-failed", {
  level: "warn",
  help: "An engine that instances suspect failed its health check as well; " +
    "all instances avoid it.",
  fields: { engine: z.string(), reason: z.string() },
});

export const clockCompared = defineEvent(1058, "clock-compared", {
  level: "info",
  help: "Offset of the leader's wall clock from this instance's, positive if " +
    "the leader is ahead, measured from the times of a call. Logged when it " +
    "changed, when it was measured more precisely, when the leader changed, " +
    "and once a minute.",
  fields: {
    peer: z.string(),
    offsetMilliseconds: z.number(),
    uncertaintyMilliseconds: z.number(),
  },
});

export const probeSucceeded = defineEvent(1057, "engine-probe-succeeded", {
  level: "info",
  help: "An avoided engine passed its health check again.",
  fields: { engine: z.string() },
});

export const engineAnnouncedLeaving = defineEvent(
  1059,
  "engine-announced-leaving",
  {
    level: "info",
    help: "An engine announced in an answer that it leaves. This instance " +
      "sends it nothing more, whatever the list of engines says.",
    fields: {
      engine: z.string(),
      /** An answer to this instance, or one to a store that ran an item. */
      source: z.enum(["answer", "store"]),
      /** Whether the list of engines names the engine. */
      isListed: z.boolean(),
    },
    labels: ["source"],
  },
);

export const announcementIgnored = defineEvent(1060, "announcement-ignored", {
  level: "warn",
  help: "An answer announced with an unknown value that its engine leaves. " +
    "The engine stays in use. `count` is the number of such answers since " +
    "the start; logged once a minute at most.",
  fields: { engine: z.string(), count: z.number() },
});

export const engineChoiceSet = defineEvent(1061, "engine-choice-set", {
  level: "info",
  help: "How this instance chooses engines for live requests, as set at its " +
    "start: by load alone, or by costs with these prices.",
  fields: {
    by: z.enum(["load", "cost"]),
    crossingMilliseconds: z.number().optional(),
    preemptionMilliseconds: z.number().optional(),
  },
});
