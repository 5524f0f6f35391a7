import { z } from "zod";
import type { ISectionDefinition } from "../consensus/mod.ts";
import { defineMethod } from "../rpc/mod.ts";
import { configurationSchema } from "./schema.ts";

/** A configuration that has been accepted. */
export const acceptedConfigurationSchema = z.object({
  version: z.number(),
  changeId: z.string(),
  operator: z.string(),
  /** Time of acceptance, in milliseconds since the Unix epoch. */
  acceptedAt: z.number(),
  document: configurationSchema,
});
export type AcceptedConfiguration = z.infer<
  typeof acceptedConfigurationSchema
>;

/** What is kept of an earlier change. */
export const changeRecordSchema = acceptedConfigurationSchema.omit({
  document: true,
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** Replaces the configuration if its version is still the expected one. */
export const applyCommandSchema = z.object({
  kind: z.literal("apply"),
  /** Chosen by the operator; the same change sent twice is applied once. */
  changeId: z.string().min(1).max(128),
  operator: z.string(),
  expectedVersion: z.int().min(0),
  document: configurationSchema,
});
export type ApplyCommand = z.infer<typeof applyCommandSchema>;

export const applyOutputSchema = z.discriminatedUnion("kind", [
  /** The change is in force, now or since an earlier attempt. */
  z.object({ kind: z.literal("accepted"), record: changeRecordSchema }),
  /** Another change won; `record` is the one that is in force. */
  z.object({
    kind: z.literal("conflict"),
    record: changeRecordSchema.optional(),
  }),
]);
export type ApplyOutput = z.infer<typeof applyOutputSchema>;

/** Section of the replicated state that holds the configuration. */
export const configurationSection = {
  name: "configuration",
  command: applyCommandSchema,
  output: applyOutputSchema,
} satisfies ISectionDefinition;

/** Fetches the newest configuration that the leader has applied. */
export const fetchConfigurationMethod = defineMethod("configuration.fetch", {
  params: z.object({}),
  result: z.object({ accepted: acceptedConfigurationSchema.optional() }),
});

/** Lists the latest changes, newest first. */
export const configurationHistoryMethod = defineMethod(
  "configuration.history",
  {
    params: z.object({ limit: z.int().min(1).max(1_000) }),
    result: z.object({ records: z.array(changeRecordSchema) }),
  },
);
