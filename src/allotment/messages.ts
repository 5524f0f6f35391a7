import { z } from "zod";
import { messageNumberSchema } from "../common/mod.ts";
import { defineMethod, peerAddressSchema } from "../rpc/mod.ts";

/** An owner and its engines. */
export const engineOwnerSchema = z.object({
  address: peerAddressSchema,
  engines: z.array(z.string()),
});

/** Claims the batch streams of engines, or renews the claim, at the leader. */
export const claimEnginesMethod = defineMethod("allotment.claim", {
  params: z.object({
    address: peerAddressSchema,
    region: z.string(),
    /** Engines that the instance owns now. */
    claims: z.array(z.string()),
    /** False when the instance stops and gives up what it owns. */
    accepting: z.boolean(),
    /** Revision of the owner list that the instance has. */
    revision: z.string(),
  }),
  result: z.object({
    /** Engines that the instance owns until its lease ends. */
    owned: z.array(z.string()),
    revision: z.string(),
    /** Present if the instance has another revision. */
    owners: z.array(engineOwnerSchema).optional(),
  }),
});

/** Reports live streams to an engine owner, and returns the totals. */
export const reportLiveMethod = defineMethod("allotment.live", {
  params: z.object({
    /** Absent from versions that do not number their reports. */
    number: messageNumberSchema.optional(),
    live: z.array(z.object({ engineId: z.string(), streams: z.number() })),
  }),
  result: z.object({
    engines: z.array(z.object({
      engineId: z.string(),
      /** Live streams of all instances but the calling one. */
      otherLive: z.number(),
      batch: z.number(),
    })),
  }),
});
