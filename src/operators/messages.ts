import { z } from "zod";
import { configurationSchema } from "../configuration/mod.ts";
import { logStatusSchema } from "../consensus/mod.ts";
import { instanceSchema, memberSchema } from "../membership/mod.ts";

/** Body of `POST /configuration`. */
export const applyRequestSchema = z.object({
  changeId: z.string().min(1).max(128),
  operator: z.string().min(1).max(128),
  expectedVersion: z.int().min(0),
  document: configurationSchema,
});
export type ApplyRequest = z.infer<typeof applyRequestSchema>;

/** Response body of `GET /status`. */
export const statusSchema = z.object({
  instance: instanceSchema,
  connected: z.boolean(),
  log: logStatusSchema.optional(),
  members: z.array(memberSchema),
});
export type Status = z.infer<typeof statusSchema>;
