import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { subjectTraceSchema } from "./types.ts";

/** Reads what an instance knows of a request or item. */
export const readTraceMethod = defineMethod("explain.read", {
  params: z.object({ subject: z.string().max(256) }),
  result: subjectTraceSchema,
});
