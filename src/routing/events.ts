import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const targetEjected = defineEvent(720, "target-ejected", {
  level: "warn",
  help: "A target failed several times in a row and gets no new requests " +
    "from this instance for the given time; then one request probes it. " +
    "Check the target if this event repeats or if several instances log it.",
  fields: {
    target: z.string(),
    failures: z.number(),
    milliseconds: z.number(),
  },
});

export const targetRestored = defineEvent(721, "target-restored", {
  level: "info",
  help: "An ejected target answered a probe and gets requests again.",
  fields: { target: z.string() },
});
