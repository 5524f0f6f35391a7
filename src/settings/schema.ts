import { isIP } from "node:net";
import { z } from "zod";
import { checkSettings } from "./check_settings.ts";

/** Description of valid names in error messages. */
const NAME_DESCRIPTION =
  "a name of 1 to 63 lower-case letters, digits, '.', '_' or '-'";

/** Description of valid addresses in error messages. */
const IP_ADDRESS_DESCRIPTION = "an IP address such as 127.0.0.1";

/** Names of instances, failure domains, callers, services and targets. */
export const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  NAME_DESCRIPTION,
).meta({ description: NAME_DESCRIPTION });

/** An IP address; host names are not accepted. */
export const ipAddressSchema = z.string().refine(
  (value) => isIP(value) !== 0,
  IP_ADDRESS_DESCRIPTION,
).meta({ description: IP_ADDRESS_DESCRIPTION });

/** A TCP port; 0 lets the system choose one. */
export const portSchema = z.int().min(0).max(65_535);

/** Address and port that a listener binds to. */
export const listenerSchema = z.strictObject({
  address: ipAddressSchema,
  port: portSchema,
});

/** Identity of a voter and the address at which it accepts calls. */
export const voterSchema = z.strictObject({
  id: nameSchema,
  address: ipAddressSchema,
  port: portSchema,
  failureDomain: nameSchema,
});

/** Settings of a daemon, read once at its start. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: nameSchema,
    /** Instances refuse calls from instances with another fleet name. */
    fleet: nameSchema.default("figroad"),
    region: nameSchema,
    failureDomain: nameSchema,
  }),
  /** Listener for callers' HTTP requests. */
  callers: listenerSchema,
  /** Listener for calls of other instances. */
  peers: listenerSchema,
  /** Listener for operators and the load balancer's health checks. */
  operators: listenerSchema,
  /** Initial voters of the replicated log when the fleet is set up. */
  voters: z.array(voterSchema).min(1).max(7),
  /** Present on instances that store a replica of the log on disk. */
  control: z.strictObject({
    dataFolder: z.string().min(1),
    /**
     * `bootstrap`: one of the initial voters. `join`: starts as a learner;
     * an operator makes it a voter.
     */
    start: z.enum(["bootstrap", "join"]).default("bootstrap"),
  }).optional(),
  /** Address of the platform's list of live and leaving instances. */
  platform: z.strictObject({
    address: ipAddressSchema,
    port: portSchema,
  }).optional(),
  batch: z.strictObject({
    /** Policy that limits the batch streams at each engine. */
    limitPolicy: z.enum([
      "spare-slots",
      "learned",
      "concentrating",
      "fixed-share",
      "unlimited",
    ]).default("spare-slots"),
  }).prefault({}),
  /** Time limits of a graceful shutdown. */
  stopping: z.strictObject({
    /** Time for the load balancer to notice that the instance is not ready. */
    noticeMilliseconds: z.int().min(0).max(60_000).default(3_000),
    /** Time after which requests in progress are aborted. */
    limitMilliseconds: z.int().min(1_000).max(3_600_000).default(60_000),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
}).superRefine(checkSettings);
export type Settings = z.infer<typeof settingsSchema>;
