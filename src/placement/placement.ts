import type { IEngineView } from "./types.ts";

/**
 * Longest wait for a place that a request is given, as a share of its
 * objective; the rest is left for reading the prompt.
 */
const MAXIMUM_WAIT_RATIO = 0.6;

/** The same for a request that comes back after a refusal. */
const RETURNED_MAXIMUM_WAIT_RATIO = 4;

/** Smallest time after which a refused caller may come back, in ms. */
const MINIMUM_RETRY_MILLISECONDS = 150;

/** Largest difference of the scores of engines that count as equal. */
const SCORE_TOLERANCE = 0.5;

/** Where a request goes, or when its caller may come back. */
export type Placement =
  | {
    readonly kind: "engine";
    readonly view: IEngineView;
    /** Expected wait for a place, in milliseconds. */
    readonly waitMilliseconds: number;
  }
  | { readonly kind: "refused"; readonly retryMilliseconds: number }
  | { readonly kind: "no-engine" };

/** A request as the placement sees it. */
export interface IPlacementInput {
  readonly failureDomain: string;
  readonly objectiveMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether its caller was probably refused before. */
  readonly isReturned: boolean;
  /** Engines that have failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Number from 0 up to 1. */
  readonly random: number;
}

/** Expected wait for a place at an engine, in milliseconds. */
export function expectedWait(view: IEngineView): number {
  const { slots } = view.engine;
  // Batch items give way, so only live requests are ahead.
  const ahead = view.live - slots + 1;
  if (ahead <= 0) return 0;
  return ahead * view.meanMilliseconds / slots;
}

/** Chooses the engine for a live request, or refuses it. */
export function place(
  request: IPlacementInput,
  views: readonly IEngineView[],
): Placement {
  const usable = views.filter(({ engine }) =>
    !engine.isLeaving && !request.excluded.has(engine.id)
  );
  const healthy = usable.filter((view) => !view.isSuspect);
  const candidates = healthy.length > 0 ? healthy : usable;
  const best = leastLoaded(request, candidates);
  if (!best) return { kind: "no-engine" };
  const wait = expectedWait(best);
  const share = request.isReturned
    ? RETURNED_MAXIMUM_WAIT_RATIO
    : MAXIMUM_WAIT_RATIO;
  const longest = Math.min(
    share * request.objectiveMilliseconds,
    request.remainingMilliseconds,
  );
  if (wait <= longest) {
    return { kind: "engine", view: best, waitMilliseconds: wait };
  }
  const retryMilliseconds = Math.max(wait, MINIMUM_RETRY_MILLISECONDS);
  return { kind: "refused", retryMilliseconds };
}

function leastLoaded(
  request: IPlacementInput,
  views: readonly IEngineView[],
): IEngineView | undefined {
  const scored = views.map((view) => ({ view, score: score(view) }));
  const least = Math.min(...scored.map(({ score }) => score));
  const equal = scored
    .filter(({ score }) => score - least < SCORE_TOLERANCE)
    .map(({ view }) => view);
  const sameDomain = equal.filter(({ engine }) =>
    engine.failureDomain === request.failureDomain
  );
  const choice = sameDomain.length > 0 ? sameDomain : equal;
  return choice[Math.floor(request.random * choice.length)];
}

/** Requests ahead; an engine without a free place ranks behind the others. */
function score({ live, bulk, engine }: IEngineView): number {
  const total = live + bulk;
  if (total < engine.slots) return total;
  // Of full engines, the one where a batch item can give way comes first.
  return engine.slots + live;
}
