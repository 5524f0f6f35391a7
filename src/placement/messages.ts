import { z } from "zod";
import {
  callerCountSchema,
  callerLevelSchema,
  callerUseReportSchema,
  reportedEngineLimitSchema,
} from "../admission/messages.ts";
import { partReportSchema, partVerdictsSchema } from "../quarantine/mod.ts";
import { relaySchema } from "../relaying/messages.ts";
import { defineMethod } from "../rpc/mod.ts";
import { routeSetSchema } from "../service_routes/mod.ts";
import { listedEngineSchema } from "./types.ts";

/**
 * Features of a version of figroad that earlier versions lack and that an
 * instance must have before others rely on it.
 *
 * - `callers`: routes and jobs with callers that have keys.
 */
export const ABILITIES = ["callers"] as const;
export type Ability = typeof ABILITIES[number];

/** Engine id, number of its live requests, number of its batch items. */
export const loadEntrySchema = z.tuple([z.string(), z.number(), z.number()]);
export type LoadEntry = z.infer<typeof loadEntrySchema>;

/** The list of engines as the leader holds it. */
export const engineListSchema = z.object({
  /** Hash of the list's content. */
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
  /** Whether this is probably a retry after a refusal. */
  isReturned: z.boolean(),
  /** Whether it may have run, so that a refusal would fail it. */
  hasBegun: z.boolean().optional(),
  /**
   * Whether an engine that has gone silent is still connected and may continue. The
   * request then moves only to a healthy engine with a free slot.
   */
  isAlternative: z.boolean().optional(),
  /** Engines that have failed this request. */
  excluded: z.array(z.string()),
  /** Software version that the engine must have; any if absent. */
  softwareVersion: z.string().optional(),
  /** Tokens of its prompt and of the longest output; absent if not known. */
  tokens: z.number().optional(),
  /** Caller whose limit and share apply; absent if requests need no key. */
  caller: z.string().optional(),
  /** Whether the caller's limit has admitted the request before. */
  isAdmitted: z.boolean().optional(),
});
export type PlacementRequest = z.infer<typeof placementRequestSchema>;

/** Engine for a request, or the time after which its caller may retry. */
export const placementDecisionSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("engine"),
    engine: z.string(),
    live: z.number(),
    bulk: z.number(),
    waitMilliseconds: z.number(),
    /** Unused part of the caller's burst, from 0 to 1, if it has a limit. */
    callerLevel: z.number().optional(),
  }),
  z.object({
    kind: z.literal("refused"),
    retryMilliseconds: z.number(),
    /**
     * What is missing: a slot, a request within the limits that the engines
     * name, a request within the caller's limit, a slot within its fair share,
     * or memory of an engine. Absent from leaders of earlier versions, which know slots only.
     */
    missing: z.enum(["slot", "rate", "caller-limit", "share", "memory"])
      .optional(),
  }),
  z.object({ kind: z.literal("no-engine") }),
]);
export type PlacementDecision = z.infer<typeof placementDecisionSchema>;

/**
 * A stream that began: request, service, software version, and milliseconds for
 * which it may still be resumed.
 */
export const reportedStreamSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
]);
export type ReportedStream = z.infer<typeof reportedStreamSchema>;

/** Reports an instance's load to the leader and returns the fleet's state. */
export const exchangeMethod = defineMethod("placement.exchange", {
  mayWait: true,
  params: z.object({
    instance: z.string(),
    /** Name of the machine, for operators. */
    name: z.string(),
    role: z.enum(["entry", "store"]),
    /** Abilities of the instance; absent from versions before abilities. */
    abilities: z.array(z.string()).optional(),
    /**
     * Identifier of the process; different after every start. Absent from
     * versions that do not send it.
     */
    process: z.string().optional(),
    /**
     * Monotonic time of the process as it sent the call, in milliseconds. Ages
     * in the call count from then.
     */
    sentAt: z.number().optional(),
    /** Number of this call; increases with each call. */
    sequence: z.number(),
    /** Highest sequence number whose answer is reflected in `live`. */
    answered: z.number(),
    /** Live requests at each engine, from this instance. */
    live: z.array(z.tuple([z.string(), z.number()])),
    /**
     * Mean durations of live requests by engine, in milliseconds, as far as
     * this leader does not know them; left out where a request is placed.
     */
    means: z.array(z.tuple([z.string(), z.number()])).optional(),
    /** Tokens that these requests may fill, by engine. */
    liveTokens: z.array(z.tuple([z.string(), z.number()])).optional(),
    /** Live requests by caller, from this instance. */
    callers: z.array(callerCountSchema).optional(),
    /** Last reports of an earlier leader on callers' limits. */
    callerLevels: z.array(callerLevelSchema).optional(),
    /** Use of callers' limits that this leader may not have received yet. */
    callerUse: callerUseReportSchema.optional(),
    /** Engines that this instance suspects after failed requests. */
    suspects: z.array(z.string()),
    /**
     * Whether the instance reads the load in the short form. Absent from
     * versions that do not know it.
     */
    readsShortLoad: z.boolean().optional(),
    /** Version of the routes that the instance has. */
    routesVersion: z.number(),
    /** Revision of the engine list that the instance has. */
    listRevision: z.string(),
    /** Streams that began and that this leader has not received yet. */
    streams: z.array(reportedStreamSchema).optional(),
    /** Limits of engines that this leader has not received yet. */
    engineLimits: z.array(reportedEngineLimitSchema).optional(),
    /** Broken and answered prompt parts; absent if there is nothing new. */
    parts: partReportSchema.optional(),
    /**
     * Port on which the instance forwards requests of other instances; absent
     * if it forwards none.
     */
    relayPort: z.number().optional(),
    /** Whether the instance has lost its own links to all engines. */
    isCutOff: z.boolean().optional(),
    /** A request to place. */
    want: placementRequestSchema.optional(),
  }),
  result: z.object({
    /** Name of the leader's machine. */
    leader: z.string(),
    /** Term of the leader; 0 from leaders that do not know the field. */
    term: z.number().default(0),
    /** Wall time of the leader, in milliseconds since the Unix epoch. */
    wall: z.number(),
    /** Load of all engines; left out where a request is placed. */
    load: z.array(loadEntrySchema).optional(),
    /**
     * The same as live requests and items of each engine in turn, in the order
     * of the list of engines that the instance has.
     */
    /**
     * Services with one software version only, and for how many milliseconds
     * the list has shown no other; absent in answers to a placement.
     */
    soleVersions: z.array(z.tuple([z.string(), z.string(), z.number()]))
      .optional(),
    shortLoad: z.array(z.number()).optional(),
    /** Engines that fail the leader's health checks. */
    suspects: z.array(z.string()),
    /** Age of the engine list, in milliseconds. */
    listAge: z.number(),
    list: engineListSchema.optional(),
    routes: routeSetSchema.optional(),
    /** Version of the routes in force at the leader. */
    routesVersion: z.number().optional(),
    /**
     * Time since the leader's routes were the newest, in milliseconds: until
     * then a quorum followed it, and it had applied all that was committed.
     * Absent if it is not certain.
     */
    confirmedMilliseconds: z.number().optional(),
    /** Limits that engines name; left out where a request is placed. */
    engineLimits: z.array(reportedEngineLimitSchema).optional(),
    /** Number of entries that reported recently. */
    entries: z.number().optional(),
    /** Prompt parts in quarantine; absent if nothing is known of any. */
    parts: partVerdictsSchema.optional(),
    /**
     * Some of the instances that forward requests; sent to instances that have
     * lost their own links.
     */
    relays: z.array(relaySchema).optional(),
    /** Decision about `want`, if the call had it. */
    grant: placementDecisionSchema.optional(),
    /** Interval until the next exchange, in milliseconds. */
    pauseMilliseconds: z.number(),
  }),
});

/** Asks the leader where a stream began. */
export const findStreamMethod = defineMethod("placement.find-stream", {
  params: z.object({ request: z.string() }),
  result: z.object({
    /** Absent if the leader does not know the stream. */
    origin: z.object({ service: z.string(), softwareVersion: z.string() })
      .optional(),
  }),
});
export type ExchangeParams = z.infer<typeof exchangeMethod.params>;
export type ExchangeResult = z.infer<typeof exchangeMethod.result>;
