import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** Section of the replicated state: stores that are being emptied. */
export const retirementSection = {
  name: "retirement",
  command: z.object({
    kind: z.literal("retire"),
    /** Identifier of the store in the log. */
    store: z.string(),
    name: z.string(),
  }),
  output: z.object({}),
};

/** State of the emptying of a store. */
export const retirementStateSchema = z.enum([
  "running",
  "done",
  "unknown-store",
  "too-few-stores",
]);
export type RetirementState = z.infer<typeof retirementStateSchema>;

/** Begins to empty a store; answered by the leader only. */
export const retireMethod = defineMethod("retirement.retire", {
  params: z.object({ name: z.string() }),
  result: z.object({ state: retirementStateSchema }),
});

/** Tells how far the emptying of a store is; answered by the leader only. */
export const readRetirementMethod = defineMethod("retirement.read", {
  params: z.object({ name: z.string() }),
  result: z.object({ state: retirementStateSchema }),
});
