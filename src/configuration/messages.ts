import { z } from "zod";
import type { ISectionDefinition } from "../consensus/mod.ts";
import { defineMethod } from "../rpc/mod.ts";
import { configurationSchema } from "./schema.ts";

/** A configuration that the leader has accepted. */
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

/** Record of an accepted change, without its document. */
export const changeRecordSchema = acceptedConfigurationSchema.omit({
  document: true,
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** Replaces the configuration if its version is still the expected one. */
export const applyCommandSchema = z.object({
  kind: z.literal("apply"),
  /** Chosen by the operator; a change that is sent twice is applied once. */
  changeId: z.string().min(1).max(128),
  operator: z.string(),
  expectedVersion: z.int().min(0),
  document: configurationSchema,
});
export type ApplyCommand = z.infer<typeof applyCommandSchema>;

export const applyOutputSchema = z.discriminatedUnion("kind", [
  /** The change was accepted by this command or by an earlier attempt. */
  z.object({ kind: z.literal("accepted"), record: changeRecordSchema }),
  /** Another change was accepted first; `record` is the latest one. */
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

/** A range of a list in the document that is replaced by other elements. */
export const listChangeSchema = z.object({
  /** Field of the document that holds the list. */
  field: z.string(),
  start: z.int().min(0),
  deleteCount: z.int().min(0),
  insert: z.array(z.unknown()),
});
export type ListChange = z.infer<typeof listChangeSchema>;

/** Difference between two accepted configurations. */
export const configurationPatchSchema = z.object({
  /** Version that the patch applies to. */
  from: z.number(),
  record: changeRecordSchema,
  lists: z.array(listChangeSchema),
  /** New values of the other changed fields; null removes a field. */
  fields: z.record(z.string(), z.unknown()),
  /** SHA-256 of the resulting document as JSON. */
  digest: z.string(),
});
export type ConfigurationPatch = z.infer<typeof configurationPatchSchema>;

/** A fetched configuration, either whole or as a patch. */
export const fetchedConfigurationSchema = z.object({
  accepted: acceptedConfigurationSchema.optional(),
  patch: configurationPatchSchema.optional(),
});
export type FetchedConfiguration = z.infer<typeof fetchedConfigurationSchema>;

/** Fetches the newest configuration that the leader has applied. */
export const fetchConfigurationMethod = defineMethod("configuration.fetch", {
  params: z.object({
    /** Version in force at the instance; the answer may be a patch to it. */
    have: z.number().optional(),
  }),
  result: fetchedConfigurationSchema,
});

/** Fetches the configuration in force at any instance. */
export const fetchFromPeerMethod = defineMethod("configuration.fetch-peer", {
  params: z.object({
    /** Whether to return the document in addition to its version. */
    whole: z.boolean(),
  }),
  result: z.object({
    /** Version in force at the peer. */
    version: z.number(),
    accepted: acceptedConfigurationSchema.optional(),
  }),
});

/** Applies a change; answered by the log's leader only. */
export const applyConfigurationMethod = defineMethod("configuration.apply", {
  params: applyCommandSchema,
  result: applyOutputSchema,
});

/** Rollout of a version, from the heartbeats that the leader received. */
export const rolloutSchema = z.object({
  version: z.number(),
  /** Instances at which the version or a newer one is in force. */
  inForce: z.array(z.string()),
  /** Instances that may serve callers with an older version. */
  missing: z.array(z.object({ id: z.string(), reason: z.string() })),
  /** Instances that sent no heartbeat for so long that they do not serve. */
  lost: z.array(z.string()),
});
export type Rollout = z.infer<typeof rolloutSchema>;

/** Reads the progress of the rollout of a version. */
export const rolloutMethod = defineMethod("configuration.rollout", {
  params: z.object({ version: z.number() }),
  result: rolloutSchema,
});

/** Lists the latest changes, newest first. */
export const configurationHistoryMethod = defineMethod(
  "configuration.history",
  {
    params: z.object({ limit: z.int().min(1).max(1_000) }),
    result: z.object({ records: z.array(changeRecordSchema) }),
  },
);
