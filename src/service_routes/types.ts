import { z } from "zod";

/**
 * Kind of the requests on a route, which determines what may be retried.
 *
 * - `safe`: a request may run more than once.
 * - `unsafe`: a request runs at most once.
 * - `stream`: the answer is a stream of numbered events.
 * - `bulk`: a request submits a job of many items.
 */
export const routeKindSchema = z.enum(["safe", "unsafe", "stream", "bulk"]);
export type RouteKind = z.infer<typeof routeKindSchema>;

/** A service of a route and its weight among the services of the route. */
export const serviceShareSchema = z.object({
  service: z.string(),
  weight: z.number(),
});
export type ServiceShare = z.infer<typeof serviceShareSchema>;

/** Routes requests for a host and path prefix to services. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  /** Maximum duration of a request. */
  timeoutMilliseconds: z.number(),
  /** Objective for the time to the first event or the answer. */
  objectiveMilliseconds: z.number(),
  /** Priority; 0 is the highest. */
  priority: z.number(),
  shares: z.array(serviceShareSchema),
  /** Maximum number of engines that one request may run on. */
  attempts: z.number(),
  /** Whether an interrupted stream may be resumed at another engine. */
  isResumable: z.boolean(),
  /** Time within which the results of a job are due. */
  resultMilliseconds: z.number().optional(),
  /** Time after which an item may be abandoned. */
  retentionMilliseconds: z.number().optional(),
  /**
   * Most tokens of jobs of one caller that may wait for their results; absent
   * if unlimited.
   */
  waitingTokensLimit: z.number().optional(),
  /** Whether requests need no key although the configuration has callers. */
  isPublic: z.boolean().optional(),
});
export type Route = z.infer<typeof routeSchema>;

/** A group of engines that run the same models. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Requests that an engine runs concurrently. */
  slots: z.number(),
  /** Tokens that the memory of an engine holds; absent if not known. */
  memoryTokens: z.number().optional(),
});
export type Service = z.infer<typeof serviceSchema>;

/** Limits on the requests of callers. */
export const requestLimitsSchema = z.object({
  headerBytes: z.number(),
  bodyBytes: z.number(),
  headerTimeoutMilliseconds: z.number(),
  idleTimeoutMilliseconds: z.number(),
});
export type RequestLimits = z.infer<typeof requestLimitsSchema>;

/** Limit of a caller's requests over the whole fleet. */
export const callerLimitSchema = z.object({
  requestsPerSecond: z.number(),
  /** Requests that may come on top at once. */
  burst: z.number(),
});
export type CallerLimit = z.infer<typeof callerLimitSchema>;

/** A sender of requests, identified by its API keys. */
export const callerAccountSchema = z.object({
  name: z.string(),
  /** SHA-256 of each key, in hexadecimal. */
  keyHashes: z.array(z.string()),
  /** Priority of its requests, instead of that of the route. */
  priority: z.number().optional(),
  /** Absent if its requests are not limited. */
  limit: callerLimitSchema.optional(),
});
export type CallerAccount = z.infer<typeof callerAccountSchema>;

/** Routes, services, callers and limits of one version. */
export const routeSetSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: requestLimitsSchema,
  /**
   * Callers with keys; requests need none if there are no callers. Absent where
   * they are yet to be decoded from the source, as in the log.
   */
  callers: z.array(callerAccountSchema).optional(),
  /**
   * The document as the operator sent it, to be returned unchanged. It contains
   * keys, so entries receive an empty string.
   */
  source: z.string(),
});
export type RouteSet = z.infer<typeof routeSetSchema>;
