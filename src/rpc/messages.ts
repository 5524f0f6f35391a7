import { z } from "zod";
import { defineMethod } from "./define_method.ts";

/** Name of the fleet if the settings specify none. */
export const DEFAULT_FLEET = "figroad";

/** Wraps the parameters of every call. */
export const envelopeSchema = z.object({
  from: z.string(),
  /** Fleet of the caller; optional in pings. */
  fleet: z.string().optional(),
  /** Milliseconds until the caller's deadline; relative as clocks differ. */
  remaining: z.number(),
  body: z.unknown(),
});
export type Envelope = z.infer<typeof envelopeSchema>;

/** Checks that a connection still carries messages in both directions. */
export const pingMethod = defineMethod("rpc.ping", {
  params: z.object({}),
  result: z.object({}),
});
