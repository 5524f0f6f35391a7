import { isIP } from "node:net";
import { z } from "zod";
import { checkSettings } from "./check_settings.ts";

/** What names look like, in words. */
const NAME_DESCRIPTION =
  "a name of 1 to 63 lower-case letters, digits, '.', '_' or '-'";

/** What addresses look like, in words. */
const IP_ADDRESS_DESCRIPTION = "an IP number such as 127.0.0.1";

/** Names of instances, failure domains, callers, services and targets. */
export const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  NAME_DESCRIPTION,
).meta({ description: NAME_DESCRIPTION });

/** An IP number; host names are not resolved. */
export const ipAddressSchema = z.string().refine(
  (value) => isIP(value) !== 0,
  IP_ADDRESS_DESCRIPTION,
).meta({ description: IP_ADDRESS_DESCRIPTION });

/** A TCP port; 0 lets the system choose one. */
export const portSchema = z.int().min(0).max(65_535);

/** An address that a listener binds to. */
export const listenerSchema = z.strictObject({
  address: ipAddressSchema,
  port: portSchema,
});

/** Where a control voter answers calls. */
export const voterSchema = z.strictObject({
  id: nameSchema,
  address: ipAddressSchema,
  port: portSchema,
  failureDomain: nameSchema,
});

/** Settings of one daemon, read once when it starts. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: nameSchema,
    /** Instances with another fleet's name refuse each other's calls. */
    fleet: nameSchema.default("figroad"),
    region: nameSchema,
    failureDomain: nameSchema,
  }),
  /** Listener for callers' HTTP requests. */
  callers: listenerSchema,
  /** Listener for calls of other instances. */
  peers: listenerSchema,
  /** Listener for operators and for the balancer's probes. */
  operators: listenerSchema,
  /** Instances that hold the replicated log when the fleet is first set up. */
  voters: z.array(voterSchema).min(1).max(7),
  /** Present on instances with a disk that hold a replica of the log. */
  control: z.strictObject({
    dataFolder: z.string().min(1),
    /**
     * `bootstrap`: one of the first voters. `join`: starts as a learner and
     * is made a voter by an operator.
     */
    start: z.enum(["bootstrap", "join"]).default("bootstrap"),
  }).optional(),
  /** Adapter for the platform's list of live and leaving instances. */
  platform: z.strictObject({
    address: ipAddressSchema,
    port: portSchema,
  }).optional(),
  batch: z.strictObject({
    /** Policy for the batch streams at each engine. */
    limitPolicy: z.enum([
      "spare-slots",
      "learned",
      "concentrating",
      "fixed-share",
      "unlimited",
    ]).default("spare-slots"),
  }).prefault({}),
  /** Waits of a planned stop. */
  stopping: z.strictObject({
    /** Time in which the balancer notices that the instance is not ready. */
    noticeMilliseconds: z.int().min(0).max(60_000).default(3_000),
    /** Time after which requests in progress are cut off. */
    limitMilliseconds: z.int().min(1_000).max(3_600_000).default(60_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
}).superRefine(checkSettings);
export type Settings = z.infer<typeof settingsSchema>;
