import { z } from "zod";
import { ipNumberSchema, nameSchema, portSchema } from "../settings/mod.ts";

/** What the hash of an API key looks like, in words. */
const KEY_HASH_ALLOWED = "a SHA-256 in hexadecimal";

/** Failure domains by region. */
export const placeSchema = z.strictObject({
  region: nameSchema,
  failureDomains: z.array(nameSchema).min(1),
});

/** Service-level objective of a model service for live requests. */
export const objectiveSchema = z.strictObject({
  /** Time to first token that the share of requests stays within. */
  firstTokenMilliseconds: z.int().positive().default(1_100),
  /** Time between tokens that the share of requests stays within. */
  betweenTokensMilliseconds: z.int().positive().default(30),
  /** Share of requests that meets both, such as 0.95. */
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

/** What an engine is to serve; figroad gives the orders for it. */
export const engineServesSchema = z.strictObject({
  models: z.array(z.string().min(1)).default([]),
  adapters: z.array(z.strictObject({
    model: z.string().min(1),
    adapter: z.string().min(1),
    version: z.string().min(1),
  })).default([]),
  role: z.enum(["prefill", "decode", "both"]).default("both"),
});

/** Limit of the store that engines load weights from. */
export const weightsStoreSchema = z.strictObject({
  /** Loads that figroad orders in a minute, over the whole fleet. */
  loadsPerMinute: z.number().positive().max(6_000),
});

/** A model engine. */
export const engineSchema = z.strictObject({
  id: nameSchema,
  service: nameSchema,
  address: ipNumberSchema,
  port: portSchema,
  failureDomain: nameSchema,
  /** Streams that the engine runs at once without queueing. */
  maximumStreams: z.int().positive().default(32),
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Absent when others decide what the engine serves. */
  serves: engineServesSchema.optional(),
});
export type Engine = z.infer<typeof engineSchema>;

/** A target that is no model engine; requests are passed through. */
export const plainServiceSchema = z.strictObject({
  name: nameSchema,
  targets: z.array(z.strictObject({
    id: nameSchema,
    address: ipNumberSchema,
    port: portSchema,
    failureDomain: nameSchema,
  })).min(1),
  /** Whether calls may be repeated when their outcome is unknown. */
  idempotent: z.boolean().default(false),
  timeoutMilliseconds: z.int().positive().default(10_000),
});
export type PlainService = z.infer<typeof plainServiceSchema>;

/** An organisation or system that sends requests. */
export const callerSchema = z.strictObject({
  name: nameSchema,
  /** Group in reports. */
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

/** Which service answers which callers, and which work may wait. */
export const ruleSchema = z.strictObject({
  callers: z.array(nameSchema).min(1),
  services: z.array(nameSchema).min(1),
  /** Whether batch jobs are allowed beside live requests. */
  batch: z.boolean().default(false),
  /** Deadline of a live request that brings none. */
  deadlineMilliseconds: z.int().positive().default(30_000),
});
export type Rule = z.infer<typeof ruleSchema>;

/** The operators' inventory and rules, changed as one document. */
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

/** Reports names that are given twice or that nothing defines. */
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
