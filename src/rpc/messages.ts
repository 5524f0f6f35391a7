import { z } from "zod";
import { defineMethod } from "./define_method.ts";

/** Fleet of an instance whose settings name none. */
export const DEFAULT_FLEET = "figroad";

/** Wraps the parameters of every call. */
export const envelopeSchema = z.object({
  from: z.string(),
  /** Fleet of the caller; pings may leave it out. */
  fleet: z.string().optional(),
  /** Milliseconds that the caller still waits; stored as a deadline. */
  remaining: z.number(),
  body: z.unknown(),
});
export type Envelope = z.infer<typeof envelopeSchema>;

/** Shows that a connection still carries messages in both directions. */
export const pingMethod = defineMethod("rpc.ping", {
  params: z.object({}),
  result: z.object({}),
});
