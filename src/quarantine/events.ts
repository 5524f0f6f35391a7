import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const partQuarantined = defineEvent(1350, "part-quarantined", {
  level: "warn",
  help: "Engines crashed while they ran requests with a certain prompt part, " +
    "and none of these requests was answered. All entries refuse requests " +
    "with the part, and items with it wait. Logged by the leader.",
  fields: {
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
  help: "A prompt part is no longer in quarantine: its time has passed, or a " +
    "request with it was answered after all. Logged by the leader.",
  fields: { part: z.string(), reason: z.enum(["time", "answered"]) },
});

export const quarantineChanged = defineEvent(1352, "quarantine-changed", {
  level: "info",
  help: "The leader sent other prompt parts in quarantine; this instance " +
    "refuses requests with any of them.",
  fields: { parts: z.array(z.string()) },
});
