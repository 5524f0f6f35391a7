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

/** A live request that needs an engine. */
export const placementRequestSchema = z.object({
  request: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  objectiveMilliseconds: z.number(),
  remainingMilliseconds: z.number(),
  /** Whether its caller was probably refused before. */
  isReturned: z.boolean(),
  /** Engines that have failed this request. */
  excluded: z.array(z.string()),
});
export type PlacementRequest = z.infer<typeof placementRequestSchema>;

/** Where a request goes, or when its caller may come back. */
export const grantSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("engine"),
    engine: z.string(),
    live: z.number(),
    bulk: z.number(),
    waitMilliseconds: z.number(),
  }),
  z.object({ kind: z.literal("refused"), retryMilliseconds: z.number() }),
  z.object({ kind: z.literal("no-engine") }),
]);
export type Grant = z.infer<typeof grantSchema>;

/** Brings an instance's load to the leader, and the fleet's state back. */
export const exchangeMethod = defineMethod("placement.exchange", {
  params: z.object({
    instance: z.string(),
    /** Name of the machine, for operators. */
    name: z.string(),
    role: z.enum(["entry", "store"]),
    /** Number of this call, rising. */
    sequence: z.number(),
    /** Highest number whose answer `live` takes into account. */
    answered: z.number(),
    /** Live requests at each engine, from this instance. */
    live: z.array(z.tuple([z.string(), z.number()])),
    /** Mean time of a live request by engine, in ms; not with each call. */
    means: z.array(z.tuple([z.string(), z.number()])).optional(),
    /** Engines that fail this instance's requests. */
    suspects: z.array(z.string()),
    /** Version of the routes that the instance has. */
    routesVersion: z.number(),
    /** Revision of the engine list that the instance has. */
    listRevision: z.string(),
    /** A request to place. */
    want: placementRequestSchema.optional(),
  }),
  result: z.object({
    /** Name of the leader's machine. */
    leader: z.string(),
    /** Wall time of the leader, in milliseconds since the Unix epoch. */
    wall: z.number(),
    /** Load of all engines; left out where a request is placed. */
    load: z.array(loadEntrySchema).optional(),
    /** Engines that several instances find failing. */
    suspects: z.array(z.string()),
    /** Age of the engine list, in milliseconds. */
    listAge: z.number(),
    list: engineListSchema.optional(),
    routes: routeSetSchema.optional(),
    /** Where the request goes that the call wanted to place. */
    grant: grantSchema.optional(),
    /** Pause until the next exchange, in milliseconds. */
    pauseMilliseconds: z.number(),
  }),
});
export type ExchangeParams = z.infer<typeof exchangeMethod.params>;
export type ExchangeResult = z.infer<typeof exchangeMethod.result>;
