import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const enginesOwned = defineEvent(650, "engines-owned", {
  level: "info",
  help: "The set of engines whose batch streams this instance owns changed.",
  fields: { engines: z.number() },
});
