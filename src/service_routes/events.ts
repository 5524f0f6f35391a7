import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const routesInForce = defineEvent(1000, "routes-in-force", {
  level: "info",
  help: "Another version of the routes is now in force at this instance.",
  fields: {
    version: z.number(),
    previous: z.number(),
    routes: z.number(),
  },
});
