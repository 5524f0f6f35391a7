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
  /**
   * Configuration version in force there; 0 before the first. The leader
   * knows it from the latest heartbeat; in the list that other instances
   * have it may be old, because a new version alone does not renew the list.
   */
  configurationVersion: z.number(),
});
export type Instance = z.infer<typeof instanceSchema>;

/** An instance as the leader sees it. */
export const memberSchema = instanceSchema.extend({
  health: z.enum(["live", "suspect", "lost"]),
});
export type Member = z.infer<typeof memberSchema>;

/** Version of the leader's soft state; comparable within one epoch only. */
export const fleetRevisionSchema = z.object({
  /** Differs after every change of leader. */
  epoch: z.string(),
  members: z.number(),
  leavingTargets: z.number(),
});
export type FleetRevision = z.infer<typeof fleetRevisionSchema>;

/** What an instance sends in place of a revision before the first answer. */
export const NO_REVISION: FleetRevision = {
  epoch: "",
  members: 0,
  leavingTargets: 0,
};

/** A change of the member list since the revision that an instance has. */
export const memberChangesSchema = z.object({
  /** Whether `put` is the whole list instead of a change. */
  whole: z.boolean(),
  put: z.array(memberSchema),
  removed: z.array(z.string()),
});
export type MemberChanges = z.infer<typeof memberChangesSchema>;

/** The platform's list as one instance has it. */
export const platformReportSchema = z.object({
  /** Targets that the list says are leaving. */
  leaving: z.array(z.string()),
});
export type PlatformReport = z.infer<typeof platformReportSchema>;

/**
 * Tells the leader that an instance lives; the answer tells it the fleet.
 *
 * The leader holds the answer back for a while unless there is news for the
 * instance, so news arrives at once and the number of calls stays the same.
 */
export const heartbeatMethod = defineMethod("membership.heartbeat", {
  lane: "control",
  params: z.object({
    instance: instanceSchema,
    revision: fleetRevisionSchema,
    /** Present when it differs from what the leader has been told. */
    platform: platformReportSchema.optional(),
  }),
  result: z.object({
    configurationVersion: z.number(),
    revision: fleetRevisionSchema,
    /** Present when the instance has another revision of the members. */
    members: memberChangesSchema.optional(),
    /** Present when the instance has another revision of them. */
    leavingTargets: z.array(z.string()).optional(),
  }),
});
