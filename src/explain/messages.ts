import { z } from "zod";
import { defineMethod } from "../rpc/mod.ts";
import { subjectTraceSchema } from "./types.ts";

/** Reads the trace that an instance has of a request or item. */
export const readTraceMethod = defineMethod("explain.read", {
  params: z.object({ subject: z.string().max(256) }),
  result: subjectTraceSchema,
});
