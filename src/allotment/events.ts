import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const enginesOwned = defineEvent(650, "engines-owned", {
  level: "info",
  help: "The engines whose batch streams this instance runs have changed.",
  fields: { engines: z.number() },
});
