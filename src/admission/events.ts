import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const engineLimitChanged = defineEvent(780, "engine-limit-changed", {
  level: "info",
  help: "An engine named another limit for the requests that it takes from " +
    "all machines together, or none any more. Live requests, items and " +
    "health checks keep to it.",
  fields: {
    engine: z.string(),
    /** Requests a second; absent if the engine no longer names a limit. */
    perSecond: z.number().optional(),
    /** An answer to this instance, or what another instance heard. */
    source: z.enum(["answer", "peer"]),
    /** Time since the answer, in milliseconds. */
    ageMilliseconds: z.number(),
  },
  labels: ["source"],
});

export const engineLimitIgnored = defineEvent(781, "engine-limit-ignored", {
  level: "warn",
  help: "An answer named a limit that is no decimal number; the last valid " +
    "limit of the engine stays in force. `count` is the number of such " +
    "answers since the start; logged once a minute at most.",
  fields: { engine: z.string(), count: z.number() },
});
