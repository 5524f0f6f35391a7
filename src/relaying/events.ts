import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const enginesUnreachable = defineEvent(1300, "engines-unreachable", {
  level: "warn",
  help: "No connection to any of the engines that were tried has opened, so " +
    "this instance has probably lost its own links to all engines. `tried` " +
    "names the engines of this check.",
  fields: { tried: z.array(z.string()), listed: z.number() },
});

export const enginesReachable = defineEvent(1301, "engines-reachable", {
  level: "info",
  help: "A connection to an engine has opened after none did.",
  fields: { milliseconds: z.number() },
});
