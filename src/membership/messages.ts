import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** State of an instance as it reports it. */
export const instanceSchema = z.object({
  id: z.string(),
  address: z.string(),
  /** Port for RPC calls from other instances. */
  port: z.number(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(["starting", "serving", "leaving"]),
  /** Identifier of the process; different after every start. */
  incarnation: z.string(),
  /**
   * Configuration version in force at the instance; 0 before the first. The
   * leader updates it with every heartbeat. In the member lists of other
   * instances it may be outdated, because a new version alone does not
   * change the revision of the list.
   */
  configurationVersion: z.number(),
});
export type Instance = z.infer<typeof instanceSchema>;

/** An instance with the leader's assessment of its health. */
export const memberSchema = instanceSchema.extend({
  health: z.enum(["live", "suspect", "lost"]),
});
export type Member = z.infer<typeof memberSchema>;

/**
 * Revision of the leader's state, which is held in memory only. Revisions are
 * comparable within one epoch.
 */
export const fleetRevisionSchema = z.object({
  /** Identifier that is different after every change of leader. */
  epoch: z.string(),
  members: z.number(),
  leavingTargets: z.number(),
});
export type FleetRevision = z.infer<typeof fleetRevisionSchema>;

/** Revision that an instance sends before it has received an answer. */
export const NO_REVISION: FleetRevision = {
  epoch: "",
  members: 0,
  leavingTargets: 0,
};

/** Changes of the member list since the revision that an instance has. */
export const memberChangesSchema = z.object({
  /** Whether `put` is the whole list, which replaces the earlier one. */
  whole: z.boolean(),
  put: z.array(memberSchema),
  removed: z.array(z.string()),
});
export type MemberChanges = z.infer<typeof memberChangesSchema>;

/** What one instance reports from the platform's target list. */
export const platformReportSchema = z.object({
  /** Identifiers of the targets that are leaving. */
  leaving: z.array(z.string()),
});
export type PlatformReport = z.infer<typeof platformReportSchema>;

/**
 * Reports the state of an instance to the leader; the answer carries changes
 * of the fleet's state.
 *
 * The call is a long poll: the leader holds the answer for a limited time
 * unless there is an update for the instance. Updates arrive immediately
 * without a higher rate of calls.
 */
export const heartbeatMethod = defineMethod("membership.heartbeat", {
  lane: "control",
  params: z.object({
    instance: instanceSchema,
    /**
     * Increases with each heartbeat of a process. Absent from versions that do
     * not number their heartbeats.
     */
    sequence: z.number().optional(),
    revision: fleetRevisionSchema,
    /** Absent when the leader has received the same report before. */
    platform: platformReportSchema.optional(),
  }),
  result: z.object({
    configurationVersion: z.number(),
    revision: fleetRevisionSchema,
    /** Present when the revision of the members differs. */
    members: memberChangesSchema.optional(),
    /** Present when the revision of the leaving targets differs. */
    leavingTargets: z.array(z.string()).optional(),
  }),
});
