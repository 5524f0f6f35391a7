import type { IEngineLoad } from "../allotment/mod.ts";
import type { Deadline } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { IReceivedLoadReport, WorkKind } from "./types.ts";

/** Age at which the weight of a load report has halved. */
const REPORT_HALF_LIFE_MILLISECONDS = 500;

/** Penalty for an engine in another failure domain, as a share of capacity. */
const OTHER_DOMAIN_PENALTY = 0.05;

/** Bonus for a cached prefix, as a share of capacity. */
const PREFIX_BONUS = 0.08;

/** Utilization from which an engine gets no bonus for a cached prefix. */
const PREFIX_LOAD_LIMIT = 0.75;

/** Penalty for each batch stream; breaks ties when placing live streams. */
const BATCH_TIE_BREAK = 0.001;

/** State of an engine that its score is computed from. */
export interface IScoreInputs {
  readonly engine: Engine;
  readonly kind: WorkKind;
  readonly load: IEngineLoad;
  readonly report: IReceivedLoadReport | undefined;
  readonly isSameDomain: boolean;
  /** Whether the engine probably has the prompt's prefix cached. */
  readonly isPreferred: boolean;
  readonly now: Deadline;
}

/** Expected load of an engine as a share of its capacity; lower is better. */
export function scoreEngine(inputs: IScoreInputs): number {
  const { engine, load } = inputs;
  const utilization = expectedStreams(inputs) / engine.maximumStreams;
  const domain = inputs.isSameDomain ? 0 : OTHER_DOMAIN_PENALTY;
  const bonus = inputs.isPreferred && utilization < PREFIX_LOAD_LIMIT
    ? PREFIX_BONUS
    : 0;
  const tieBreak = inputs.kind === "live" ? load.batch * BATCH_TIE_BREAK : 0;
  return utilization + domain - bonus + tieBreak;
}

/**
 * Streams counted by the instances, plus those that only the engine's load
 * report shows.
 *
 * A report never lowers the count, so an engine that always reports no load
 * gets no advantage. What it adds is bounded, and decays exponentially with the
 * age of the report.
 */
export function expectedStreams(inputs: IScoreInputs): number {
  const { ownLive, otherLive, batch } = inputs.load;
  const counted = ownLive + otherLive + batch;
  const { report } = inputs;
  if (!report) return counted;
  const { running, waiting, ageMilliseconds } = report.report;
  const age = Math.max(0, ageMilliseconds) + inputs.now - report.receivedAt;
  const weight = 2 ** (-age / REPORT_HALF_LIFE_MILLISECONDS);
  const uncounted = Math.max(0, running + waiting - counted);
  return counted + weight * Math.min(uncounted, inputs.engine.maximumStreams);
}
