import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const configurationInForce = defineEvent(
  200,
  "configuration-in-force",
  {
    level: "info",
    help: "The configuration version is now in force at this instance.",
    fields: { version: z.number(), changeId: z.string() },
  },
);

export const configurationOlderIgnored = defineEvent(
  201,
  "configuration-older-ignored",
  {
    level: "warn",
    help: "This instance received an older configuration than the one in " +
      "force and ignored it.",
    fields: { offered: z.number(), inForce: z.number() },
  },
);
