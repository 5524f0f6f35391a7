import { z } from "zod";

/** A running engine as the platform's list shows it. */
export const listedEngineSchema = z.object({
  /** Identifier of the incarnation; a restart mostly has a new one. */
  id: z.string(),
  service: z.string(),
  address: z.string(),
  port: z.number(),
  failureDomain: z.string(),
  /** Requests that it runs at once. */
  slots: z.number(),
  /** Whether it is about to stop and takes no new work. */
  isLeaving: z.boolean(),
});
export type ListedEngine = z.infer<typeof listedEngineSchema>;

/** Load of one engine. */
export interface IEngineLoad {
  /** Live requests that it runs or that wait there. */
  readonly live: number;
  /** Batch items that it runs; they give way to live requests. */
  readonly bulk: number;
}

/** What is known of an engine when a request is placed. */
export interface IEngineView extends IEngineLoad {
  readonly engine: ListedEngine;
  /** Whether its requests fail or stay silent. */
  readonly isSuspect: boolean;
  /** Mean time that a live request takes there, in milliseconds. */
  readonly meanMilliseconds: number;
}

/** Mean time of a live request before any was measured, in milliseconds. */
export const INITIAL_MEAN_MILLISECONDS = 700;

/** Reads the list of engines. */
export interface IEngineListSource {
  /** @throws Error when the list cannot be read. */
  read(signal: AbortSignal): Promise<readonly ListedEngine[]>;
}
