import { z } from "zod";
import { replicaSetSchema } from "./replica_set.ts";

/** Content of an entry: a command for a section, or the members of the log. */
export const entryBodySchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("command"),
    section: z.string(),
    command: z.unknown(),
  }),
  /** Also the first entry of every term, with the members unchanged. */
  z.object({ kind: z.literal("replicas"), replicas: replicaSetSchema }),
]);
export type EntryBody = z.infer<typeof entryBodySchema>;

/** Entry of the replicated log. */
export const entrySchema = z.object({
  index: z.number(),
  term: z.number(),
  /** Wall clock of the leader, in milliseconds; never decreases. */
  proposedAt: z.number(),
  body: entryBodySchema,
});
export type Entry = z.infer<typeof entrySchema>;
