import { createHash } from "node:crypto";

/** Size of the configuration in the capacity requirements. */
export const REFERENCE_ENGINES = 1_800;
export const REFERENCE_CALLERS = 970;
export const REFERENCE_SERVICES = 28;
export const REFERENCE_FAILURE_DOMAINS = 19;
export const REFERENCE_REGIONS = 5;

/** Builds a configuration scaled to a ratio of the reference size. */
export function referenceConfiguration(ratio = 1) {
  const count = (fullCount: number) =>
    Math.max(1, Math.round(fullCount * ratio));
  const services = range(count(REFERENCE_SERVICES), (index) => ({
    name: `service-${index}`,
    model: `model-${index}`,
  }));
  const domains = range(
    REFERENCE_FAILURE_DOMAINS,
    (index) => `domain-${index}`,
  );
  const callers = range(count(REFERENCE_CALLERS), (index) => ({
    name: `workspace-${index}`,
    group: `group-${index % 12}`,
    keySha256: createHash("sha256").update(`key-${index}`).digest("hex"),
    limits: { requestsPerSecond: 50 },
  }));
  return {
    places: range(REFERENCE_REGIONS, (region) => ({
      region: `region-${region}`,
      failureDomains: domains.filter((_, index) =>
        index % REFERENCE_REGIONS === region
      ),
    })),
    services,
    engines: range(count(REFERENCE_ENGINES), (index) => ({
      id: `engine-${index}`,
      service: `service-${index % services.length}`,
      address: `10.0.${Math.floor(index / 250)}.${index % 250 + 1}`,
      port: 8_000,
      failureDomain: domains[index % domains.length] ?? "",
    })),
    callers,
    rules: range(services.length, (index) => ({
      callers: callers
        .filter((_, position) => position % services.length === index)
        .map(({ name }) => name),
      services: [`service-${index}`],
      batch: index % 2 === 0,
    })).filter((rule) => rule.callers.length > 0),
  };
}

function range<T>(count: number, build: (index: number) => T): T[] {
  return Array.from({ length: count }, (_, index) => build(index));
}
