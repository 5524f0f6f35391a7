import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** What an instance says of itself. */
export const instanceSchema = z.object({
  id: z.string(),
  address: z.string(),
  /** Port for calls of other instances. */
  port: z.number(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(["starting", "serving", "leaving"]),
  /** Differs after every start of the process. */
  incarnation: z.string(),
  /** Configuration version in force there; 0 before the first. */
  configurationVersion: z.number(),
});
export type Instance = z.infer<typeof instanceSchema>;

/** An instance as the leader sees it. */
export const memberSchema = instanceSchema.extend({
  health: z.enum(["live", "suspect", "lost"]),
});
export type Member = z.infer<typeof memberSchema>;

/** Tells the leader that an instance lives; the answer tells it the fleet. */
export const heartbeatMethod = defineMethod("membership.heartbeat", {
  params: z.object({
    instance: instanceSchema,
    /** Revision of the member list that the instance has. */
    membersRevision: z.string(),
  }),
  result: z.object({
    configurationVersion: z.number(),
    membersRevision: z.string(),
    /** Present when the instance has another revision. */
    members: z.array(memberSchema).optional(),
  }),
});
