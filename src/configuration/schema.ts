import { z } from "zod";
import { ipAddressSchema, nameSchema, portSchema } from "../settings/mod.ts";

/** Describes the allowed API key hashes in messages and documentation. */
const KEY_HASH_ALLOWED = "a SHA-256 in hexadecimal";

/** A region and its failure domains. */
export const placeSchema = z.strictObject({
  region: nameSchema,
  failureDomains: z.array(nameSchema).min(1),
});

/** Service-level objective of a model service for live requests. */
export const objectiveSchema = z.strictObject({
  /** Maximum time to the first token that `share` of the requests must meet. */
  firstTokenMilliseconds: z.int().positive().default(1_100),
  /** Maximum time between tokens that `share` of the requests must meet. */
  betweenTokensMilliseconds: z.int().positive().default(30),
  /** Share of requests that have to meet both, such as 0.95. */
  share: z.number().gt(0).lt(1).default(0.95),
});
export type Objective = z.infer<typeof objectiveSchema>;

/** A model that callers name in their requests. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  /** Model name as callers and engines write it. */
  model: z.string().min(1),
  objective: objectiveSchema.prefault({}),
});
export type Service = z.infer<typeof serviceSchema>;

/** Desired state of an engine; figroad issues the orders to reach it. */
export const engineServesSchema = z.strictObject({
  models: z.array(z.string().min(1)).default([]),
  adapters: z.array(z.strictObject({
    model: z.string().min(1),
    adapter: z.string().min(1),
    version: z.string().min(1),
  })).default([]),
  role: z.enum(["prefill", "decode", "both"]).default("both"),
});

/** Rate limit of the store that engines load model weights from. */
export const weightsStoreSchema = z.strictObject({
  /** Maximum loads that figroad orders per minute, over the whole fleet. */
  loadsPerMinute: z.number().positive().max(6_000),
});

/** A model engine. */
export const engineSchema = z.strictObject({
  id: nameSchema,
  service: nameSchema,
  address: ipAddressSchema,
  port: portSchema,
  failureDomain: nameSchema,
  /** Streams that the engine runs concurrently without queueing. */
  maximumStreams: z.int().positive().default(32),
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Absent if another system manages what the engine serves. */
  serves: engineServesSchema.optional(),
});
export type Engine = z.infer<typeof engineSchema>;

/** A service without model engines; requests are passed through. */
export const plainServiceSchema = z.strictObject({
  name: nameSchema,
  targets: z.array(z.strictObject({
    id: nameSchema,
    address: ipAddressSchema,
    port: portSchema,
    failureDomain: nameSchema,
  })).min(1),
  /** Whether calls may be retried if their outcome is unknown. */
  idempotent: z.boolean().default(false),
  timeoutMilliseconds: z.int().positive().default(10_000),
});
export type PlainService = z.infer<typeof plainServiceSchema>;

/** An organisation or system that sends requests. */
export const callerSchema = z.strictObject({
  name: nameSchema,
  /** Group that the caller is counted under in reports. */
  group: nameSchema,
  /** SHA-256 of the API key, in hexadecimal. */
  keySha256: z.string()
    .regex(/^[0-9a-f]{64}$/, KEY_HASH_ALLOWED)
    .meta({ description: KEY_HASH_ALLOWED }),
  /** Limits over the whole fleet. */
  limits: z.strictObject({
    requestsPerSecond: z.number().positive().default(100),
    concurrentRequests: z.int().positive().default(200),
    queuedItems: z.int().positive().default(1_000_000),
  }).prefault({}),
});
export type CallerRecord = z.infer<typeof callerSchema>;

/** Grants callers the use of services, optionally with batch jobs. */
export const ruleSchema = z.strictObject({
  callers: z.array(nameSchema).min(1),
  services: z.array(nameSchema).min(1),
  /** Whether batch jobs are allowed in addition to live requests. */
  batch: z.boolean().default(false),
  /** Deadline of live requests that specify none. */
  deadlineMilliseconds: z.int().positive().default(30_000),
});
export type Rule = z.infer<typeof ruleSchema>;

/** Inventory and rules, which operators change as one document. */
export const configurationSchema = z.strictObject({
  places: z.array(placeSchema).min(1),
  services: z.array(serviceSchema),
  engines: z.array(engineSchema),
  plainServices: z.array(plainServiceSchema).default([]),
  callers: z.array(callerSchema),
  rules: z.array(ruleSchema),
  weightsStore: weightsStoreSchema.optional(),
}).superRefine(checkReferences);
export type Configuration = z.infer<typeof configurationSchema>;

/** Reports duplicate names and references to undefined names. */
function checkReferences(
  document: {
    places: z.infer<typeof placeSchema>[];
    services: Service[];
    engines: Engine[];
    plainServices: PlainService[];
    callers: CallerRecord[];
    rules: Rule[];
  },
  context: z.core.$RefinementCtx,
): void {
  const domains = new Set(
    document.places.flatMap((place) => place.failureDomains),
  );
  const services = new Set([
    ...document.services.map((service) => service.name),
    ...document.plainServices.map((service) => service.name),
  ]);
  const callers = new Set(document.callers.map((caller) => caller.name));
  const report = (path: (string | number)[], message: string) =>
    context.addIssue({ code: "custom", path, message });

  checkUnique(
    document.services.map((service) => service.name),
    (index) => report(["services", index, "name"], "a name that is given once"),
  );
  checkUnique(
    document.engines.map((engine) => engine.id),
    (index) => report(["engines", index, "id"], "an id that is given once"),
  );
  checkUnique(
    document.callers.map((caller) => caller.name),
    (index) => report(["callers", index, "name"], "a name that is given once"),
  );
  checkUnique(
    document.callers.map((caller) => caller.keySha256),
    (index) =>
      report(["callers", index, "keySha256"], "a key of this caller alone"),
  );
  document.engines.forEach((engine, index) => {
    if (!domains.has(engine.failureDomain)) {
      report(["engines", index, "failureDomain"], "a domain under places");
    }
    if (!document.services.some(({ name }) => name === engine.service)) {
      report(["engines", index, "service"], "a name under services");
    }
  });
  document.rules.forEach((rule, index) => {
    rule.callers.forEach((name, position) => {
      if (!callers.has(name)) {
        report(["rules", index, "callers", position], "a name under callers");
      }
    });
    rule.services.forEach((name, position) => {
      if (!services.has(name)) {
        report(["rules", index, "services", position], "a known service");
      }
    });
  });
}

function checkUnique(
  values: string[],
  report: (index: number) => void,
): void {
  values.forEach((value, index) => {
    if (values.indexOf(value) !== index) report(index);
  });
}
