import { z } from "zod";
import { defineEvent } from "../events/mod.ts";

export const routesInForce = defineEvent(1000, "routes-in-force", {
  level: "info",
  help: "This instance obeys another version of the routes from now on.",
  fields: {
    version: z.number(),
    previous: z.number(),
    routes: z.number(),
  },
});
