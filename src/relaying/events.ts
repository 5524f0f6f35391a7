import { z } from "zod";
import { defineEvent } from "../events/mod.ts";
import { relayOutcomeSchema } from "./messages.ts";

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

export const relayAvoided = defineEvent(1302, "relay-avoided", {
  level: "warn",
  help: "An instance did not forward a request of this one, which has lost " +
    "its links to the engines. It is avoided for a second.",
  fields: { relay: z.string(), reason: z.string() },
});

export const requestRelayed = defineEvent(1303, "request-relayed", {
  level: "info",
  help: "This instance has lost its links to the engines and sends a request " +
    "through another instance.",
  fields: { request: z.string(), engine: z.string(), relay: z.string() },
});

export const relayedRequestEnded = defineEvent(
  1304,
  "relayed-request-ended",
  {
    level: "info",
    help: "This instance forwarded, or declined to forward, a request of an " +
      "instance that has lost its links to the engines.",
    fields: {
      request: z.string(),
      engine: z.string(),
      from: z.string(),
      outcome: z.enum([...relayOutcomeSchema.options, "broken", "left"]),
      reason: z.string(),
      milliseconds: z.number(),
    },
    labels: ["outcome"],
  },
);
