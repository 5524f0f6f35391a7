import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const partQuarantined = defineEvent(1350, "part-quarantined", {
  level: "warn",
  help: "Engines crashed while they ran requests with a certain prompt part, " +
    "or a certain request that was repeated, and none of these requests was " +
    "answered. All entries refuse them. Logged by the leader, and by an " +
    "entry that decides without it.",
  fields: {
    /** Prompt part; with the prefix `content:` the hash of a whole request. */
    part: z.string(),
    /** Crashes of engines that ran such requests. */
    crashes: z.number(),
    /** Number of these requests. */
    requests: z.number(),
    /** Time until the part is released. */
    milliseconds: z.number(),
  },
});

export const partReleased = defineEvent(1351, "part-released", {
  level: "info",
  help:
    "A part or request is no longer in quarantine: its time has passed, or a " +
    "request with it was answered after all. Logged by the leader.",
  fields: { part: z.string(), reason: z.enum(["time", "answered"]) },
});

export const quarantineChanged = defineEvent(1352, "quarantine-changed", {
  level: "info",
  help:
    "The leader sent other parts or requests in quarantine; this instance " +
    "refuses requests with any of them.",
  fields: { parts: z.array(z.string()) },
});
