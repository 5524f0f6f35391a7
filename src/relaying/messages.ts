import { z } from "zod";
import type { HeaderLines } from "../streams/types.ts";

/** Headers between an instance and one that forwards its requests. */
export const RELAY_HEADERS = {
  /** Engine that the request is for. */
  engine: "figroad-engine",
  /** Set to 1 if the request needs a connection that no other has used. */
  freshConnection: "figroad-fresh-connection",
  /** How the forwarding ended. */
  outcome: "figroad-outcome",
  /** Why an instance did not answer with the engine's answer, URI-encoded. */
  reason: "figroad-reason",
  /** Set to 1 if the engine's answer ends with its connection. */
  unframed: "figroad-unframed",
} as const;

/**
 * How an instance ended a request that it was asked to forward:
 *
 * - `answered`: the response is the engine's answer.
 * - `declined`: the instance forwards nothing now; another one may.
 * - `unavailable`: the engine must not be used, or is not known.
 * - `unreached`: no connection to the engine opened.
 * - `lost`: the engine has not answered and may have run the request.
 */
export const relayOutcomeSchema = z.enum([
  "answered",
  "declined",
  "unavailable",
  "unreached",
  "lost",
]);
export type RelayOutcome = z.infer<typeof relayOutcomeSchema>;

/** Removes the headers that are meant for the other instance only. */
export function withoutRelayHeaders(headers: HeaderLines): HeaderLines {
  const names = new Set<string>(Object.values(RELAY_HEADERS));
  return headers.filter(([name]) => !names.has(name.toLowerCase()));
}

/** Address at which an instance forwards requests of other instances. */
export const relaySchema = z.object({ address: z.string(), port: z.number() });
export type Relay = z.infer<typeof relaySchema>;
