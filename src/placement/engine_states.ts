import { z } from "zod";
import type { EngineLimits } from "../admission/mod.ts";
import type { EngineTable } from "./engine_table.ts";
import type { LeavingEngines } from "./leaving_engines.ts";

/** Path of the page with the engines, on the metrics address. */
export const ENGINE_STATES_PATH = "/engines";

/** An engine as one instance knows it. */
export const engineStateSchema = z.object({
  engine: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  /**
   * How the instance knows that the engine leaves: from the list of engines, an
   * answer, or a store that ran an item. Absent if it does not leave.
   */
  leaving: z.enum(["list", "answer", "store"]).optional(),
  /** Time since the engine announced that it leaves, in milliseconds. */
  announcedMilliseconds: z.number().optional(),
  /** Requests a second that the engine takes; absent without a limit. */
  limitPerSecond: z.number().optional(),
  isSuspect: z.boolean(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/** The engines as one instance knows them. */
export const engineStatesSchema = z.object({
  instance: z.string(),
  /** Age of the list of engines, in milliseconds. */
  listAgeMilliseconds: z.number(),
  engines: z.array(engineStateSchema),
});
export type EngineStates = z.infer<typeof engineStatesSchema>;

/** Describes the engines in the table. */
export function describeEngines(
  instance: string,
  sources: {
    table: EngineTable;
    leaving: LeavingEngines;
    engineLimits: EngineLimits;
  },
): EngineStates {
  const { table, leaving, engineLimits } = sources;
  const engines = table.engines.map((engine): EngineState => {
    const { id, service, failureDomain, isLeaving } = engine;
    const announced = leaving.announcementOf(id);
    return {
      engine: id,
      ...{ service, failureDomain },
      leaving: announced?.source ?? (isLeaving ? "list" : undefined),
      announcedMilliseconds: announced?.ageMilliseconds,
      limitPerSecond: engineLimits.limitOf(id),
      isSuspect: table.isSuspect(id),
    };
  });
  const listAgeMilliseconds = Math.round(
    Math.min(table.listAge, Number.MAX_SAFE_INTEGER),
  );
  return { instance, listAgeMilliseconds, engines };
}
