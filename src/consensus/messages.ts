import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { logStatusSchema } from "./types.ts";

/** Proposes a command; answered by the leader only. */
export const proposeMethod = defineMethod("consensus.propose", {
  params: z.object({ section: z.string(), command: z.unknown() }),
  result: z.object({ output: z.unknown() }),
});

/** Reports the state of a replica. */
export const statusMethod = defineMethod("consensus.status", {
  params: z.object({}),
  result: logStatusSchema,
});
