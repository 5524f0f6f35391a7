import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { routeSetSchema } from "../service_routes/mod.ts";
import { listedEngineSchema } from "./types.ts";

/** Live requests and batch items at an engine: identifier, live, bulk. */
export const loadEntrySchema = z.tuple([z.string(), z.number(), z.number()]);
export type LoadEntry = z.infer<typeof loadEntrySchema>;

/** The list of engines as the leader holds it. */
export const engineListSchema = z.object({
  /** Names one content of the list; changes with it. */
  revision: z.string(),
  engines: z.array(listedEngineSchema),
});
export type EngineList = z.infer<typeof engineListSchema>;

/** Brings an instance's load to the leader, and the fleet's state back. */
export const exchangeMethod = defineMethod("placement.exchange", {
  params: z.object({
    instance: z.string(),
    /** Name of the machine, for operators. */
    name: z.string(),
    role: z.enum(["entry", "store"]),
    /** Live requests at each engine, from this instance. */
    live: z.array(z.tuple([z.string(), z.number()])),
    /** Engines that fail this instance's requests. */
    suspects: z.array(z.string()),
    /** Version of the routes that the instance has. */
    routesVersion: z.number(),
    /** Revision of the engine list that the instance has. */
    listRevision: z.string(),
  }),
  result: z.object({
    load: z.array(loadEntrySchema),
    /** Engines that several instances find failing. */
    suspects: z.array(z.string()),
    /** Age of the engine list, in milliseconds. */
    listAge: z.number(),
    list: engineListSchema.optional(),
    routes: routeSetSchema.optional(),
  }),
});
export type ExchangeParams = z.infer<typeof exchangeMethod.params>;
export type ExchangeResult = z.infer<typeof exchangeMethod.result>;
