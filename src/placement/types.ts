import { z } from "zod";

/** A running engine in the platform's list. */
export const listedEngineSchema = z.object({
  /** Identifier of the incarnation; it usually changes with a restart. */
  id: z.string(),
  service: z.string(),
  address: z.string(),
  port: z.number(),
  failureDomain: z.string(),
  /**
   * Version of the engine's software. Streams of different versions do not fit
   * together. Empty in lists of leaders that do not know the field.
   */
  softwareVersion: z.string().default(""),
  /** Number of requests that it runs concurrently. */
  slots: z.number(),
  /** Start of the engine, in milliseconds since the Unix epoch, if known. */
  bornAt: z.number().optional(),
  /** Whether it is about to stop and accepts no new work. */
  isLeaving: z.boolean(),
});
export type ListedEngine = z.infer<typeof listedEngineSchema>;

/** Load of one engine. */
export interface IEngineLoad {
  /** Live requests that it runs or queues. */
  readonly live: number;
  /** Batch items that it runs; live requests preempt them. */
  readonly bulk: number;
}

/** An engine with the state that placement decides by. */
export interface IEngineView extends IEngineLoad {
  readonly engine: ListedEngine;
  /** Tokens that its live requests may fill. */
  readonly liveTokens?: number;
  /** Tokens that its memory holds; undefined if not known. */
  readonly memoryTokens?: number | undefined;
  /** Whether requests to it fail or are not answered. */
  readonly isSuspect: boolean;
  /** Mean duration of a live request there, in milliseconds. */
  readonly meanMilliseconds: number;
}

/** Mean duration assumed for a live request before one has completed. */
export const INITIAL_MEAN_MILLISECONDS = 700;

/** Source of the list of engines. */
export interface IEngineListSource {
  /** @throws Error when the list cannot be read. */
  read(signal: AbortSignal): Promise<readonly ListedEngine[]>;
}
