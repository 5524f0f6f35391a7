import type { ListedEngine } from "../src/placement/mod.ts";

/** Slots of each test engine. */
export const ENGINE_SLOTS = 8;

/** Builds an engine of the service `writer` as the platform lists it. */
export function listedEngine(
  id: string,
  changes: Partial<ListedEngine> = {},
): ListedEngine {
  return {
    id,
    service: "writer",
    address: "10.0.0.9",
    port: 80,
    failureDomain: "a",
    softwareVersion: "v1",
    slots: ENGINE_SLOTS,
    isLeaving: false,
    ...changes,
  };
}
