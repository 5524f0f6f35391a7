import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const configurationInForce = defineEvent(
  200,
  "configuration-in-force",
  {
    level: "info",
    help: "This instance now works by the given configuration version.",
    fields: { version: z.number(), changeId: z.string() },
  },
);

export const configurationOlderIgnored = defineEvent(
  201,
  "configuration-older-ignored",
  {
    level: "warn",
    help: "An older configuration arrived late and was dropped; the version " +
      "in force stays.",
    fields: { offered: z.number(), inForce: z.number() },
  },
);
