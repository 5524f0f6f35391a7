import { z } from "zod";
import { defineMethod, peerAddressSchema } from "../rpc/mod.ts";

/** Engines of one owner. */
export const engineOwnerSchema = z.object({
  address: peerAddressSchema,
  engines: z.array(z.string()),
});

/** Claims or keeps the batch streams of engines, at the log's leader. */
export const claimEnginesMethod = defineMethod("allotment.claim", {
  params: z.object({
    address: peerAddressSchema,
    region: z.string(),
    /** Engines that the instance owns now. */
    claims: z.array(z.string()),
    /** False when the instance stops and gives up what it owns. */
    accepting: z.boolean(),
    /** Revision of the owners that the instance has. */
    revision: z.string(),
  }),
  result: z.object({
    /** Engines that the instance owns until its lease ends. */
    owned: z.array(z.string()),
    revision: z.string(),
    /** Present when the instance has another revision. */
    owners: z.array(engineOwnerSchema).optional(),
  }),
});

/** Tells an owner of live streams at its engines; learns of all others. */
export const reportLiveMethod = defineMethod("allotment.live", {
  params: z.object({
    live: z.array(z.object({ engineId: z.string(), streams: z.number() })),
  }),
  result: z.object({
    engines: z.array(z.object({
      engineId: z.string(),
      /** Live streams of the instances other than the asking one. */
      otherLive: z.number(),
      batch: z.number(),
    })),
  }),
});
