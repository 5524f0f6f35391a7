import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const storeRetiring = defineEvent(1200, "store-retiring", {
  level: "info",
  help: "An operator requested the retirement of a store. It leaves the log " +
    "as soon as another store has replaced it.",
  fields: { store: z.string(), machine: z.string() },
});
