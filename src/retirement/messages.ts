import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";

/** Section of the replicated state that holds the retired stores. */
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

/**
 * State of a retirement: `running` while the store is a member of the log,
 * then `done`. `unknown-store` means that the name belongs to no known store,
 * `too-few-stores` that too few voters would remain.
 */
export const retirementStateSchema = z.enum([
  "running",
  "done",
  "unknown-store",
  "too-few-stores",
]);
export type RetirementState = z.infer<typeof retirementStateSchema>;

/** Starts the retirement of a store; answered by the leader only. */
export const retireMethod = defineMethod("retirement.retire", {
  params: z.object({ name: z.string() }),
  result: z.object({ state: retirementStateSchema }),
});

/** Reads the progress of a retirement; answered by the leader only. */
export const readRetirementMethod = defineMethod("retirement.read", {
  params: z.object({ name: z.string() }),
  result: z.object({ state: retirementStateSchema }),
});
