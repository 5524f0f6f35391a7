import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const storeRetiring = defineEvent(1200, "store-retiring", {
  level: "info",
  help: "An operator asked for a store to be emptied; the log goes on " +
    "without it as soon as another store has taken its place.",
  fields: { store: z.string(), machine: z.string() },
});
