import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** Moves a cached prefix between engines; answered by the leader only. */
export const transferCacheMethod = defineMethod("orders.transfer-cache", {
  params: z.object({
    prefix: z.string(),
    /** Identifiers of the source and target engine in the inventory. */
    from: z.string(),
    to: z.string(),
  }),
  result: z.object({}),
});
