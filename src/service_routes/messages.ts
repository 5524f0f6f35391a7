import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { routeSetSchema } from "./types.ts";

/** Section of the replicated state that holds the routes. */
export const routesSection = {
  name: "routes",
  command: z.object({ routes: routeSetSchema }),
  /** Version in force after the command. */
  output: z.object({ version: z.number() }),
};

/** Reads the routes in force; answered by the leader only. */
export const readRoutesMethod = defineMethod("routes.read", {
  params: z.object({}),
  result: z.object({ routes: routeSetSchema.optional() }),
});
