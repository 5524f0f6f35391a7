import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { routeSetSchema } from "./types.ts";

/** Section of the replicated state that holds the routes. */
export const routesSection = {
  name: "routes",
  command: z.object({
    routes: routeSetSchema,
    /**
     * Abilities that instances need in order to apply the routes; absent from
     * versions that send the callers decoded.
     */
    abilities: z.array(z.string()).optional(),
  }),
  /** Version in force after the command. */
  output: z.object({ version: z.number() }),
};
export type RoutesCommand = z.infer<typeof routesSection.command>;
export type RoutesOutput = z.infer<typeof routesSection.output>;

/** Reads the routes in force; answered by the leader only. */
export const readRoutesMethod = defineMethod("routes.read", {
  params: z.object({
    /** Version that the caller has; it is not sent again. */
    have: z.number().optional(),
  }),
  result: z.object({
    /** Version in force; 0 if none is, absent from earlier versions. */
    version: z.number().optional(),
    routes: routeSetSchema.optional(),
  }),
});

/** Reads newer routes; each store answers from what it has applied. */
export const readAppliedRoutesMethod = defineMethod("routes.read-applied", {
  params: z.object({
    /** Version that the caller has. */
    have: z.number(),
  }),
  result: z.object({
    /** Absent if the store has no newer routes. */
    routes: routeSetSchema.optional(),
  }),
});
