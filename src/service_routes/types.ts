import { z } from "zod";

/**
 * What may be repeated on a route.
 *
 * - `safe`: a request may run more than once.
 * - `unsafe`: a request runs at most once.
 * - `stream`: the answer is a stream of numbered events.
 * - `bulk`: a request submits a job of many items.
 */
export const routeKindSchema = z.enum(["safe", "unsafe", "stream", "bulk"]);
export type RouteKind = z.infer<typeof routeKindSchema>;

/** Service of a route with the share of the requests that it gets. */
export const serviceShareSchema = z.object({
  service: z.string(),
  weight: z.number(),
});
export type ServiceShare = z.infer<typeof serviceShareSchema>;

/** Sends requests of a host and path prefix to services. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  /** Longest time that a request may take, in milliseconds. */
  timeoutMilliseconds: z.number(),
  /** Objective for the first event or the answer, in milliseconds. */
  objectiveMilliseconds: z.number(),
  /** Rank; 0 is the most urgent. */
  priority: z.number(),
  shares: z.array(serviceShareSchema),
  /** Engines that one request may run on. */
  attempts: z.number(),
  /** Whether a broken stream may go on at another engine. */
  isResumable: z.boolean(),
  /** Time in which the results of a job are due, in milliseconds. */
  resultMilliseconds: z.number().optional(),
  /** Time after which an item may be given up, in milliseconds. */
  retentionMilliseconds: z.number().optional(),
});
export type Route = z.infer<typeof routeSchema>;

/** A group of engines that run the same models. */
export const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Requests that an engine runs at once. */
  slots: z.number(),
});
export type Service = z.infer<typeof serviceSchema>;

/** What callers may send. */
export const requestLimitsSchema = z.object({
  headerBytes: z.number(),
  bodyBytes: z.number(),
  headerTimeoutMilliseconds: z.number(),
  idleTimeoutMilliseconds: z.number(),
});
export type RequestLimits = z.infer<typeof requestLimitsSchema>;

/** Routes, services and limits of one version. */
export const routeSetSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: requestLimitsSchema,
  /** The document as the operator sent it, for those who read it back. */
  source: z.string(),
});
export type RouteSet = z.infer<typeof routeSetSchema>;
