import type { IEngineRateLimiter } from "../admission/types.ts";
import {
  expectedWait,
  type IEngineChooser,
  LeastLoadedChooser,
} from "./engine_chooser.ts";
import type { IEngineView } from "./types.ts";

/**
 * Maximum expected wait for a slot, as a ratio of the request's latency
 * objective; the rest of the objective is left for processing the prompt.
 */
const MAXIMUM_WAIT_RATIO = 0.6;

/**
 * The same for a request that has begun, or is retried after a refusal. While
 * engines limit their requests, overload lasts, and longer waits of some would
 * make all of them late.
 */
const RETRY_MAXIMUM_WAIT_RATIO = 4;

/** Minimum time after which a refused caller may retry. */
const MINIMUM_RETRY_MILLISECONDS = 150;

/**
 * The same while engines limit their requests, and the random addition to it.
 * Callers retry a few times only, and bursts of requests last for seconds.
 */
const LIMITED_RETRY_MILLISECONDS = 1_200;
const LIMITED_RETRY_SPREAD_MILLISECONDS = 800;

/**
 * Maximum time after which a caller may retry if the limits of engines are used
 * up. Another instance may send a request to an engine earlier.
 */
const MAXIMUM_RATE_WAIT_MILLISECONDS = 2_000;

/** Used where the deployment configures no costs. */
const DEFAULT_CHOOSER = new LeastLoadedChooser();

/** Engine for a request, or the time after which its caller may retry. */
export type Placement =
  | {
    readonly kind: "engine";
    readonly view: IEngineView;
    /** Expected wait for a slot, in milliseconds. */
    readonly waitMilliseconds: number;
  }
  | {
    readonly kind: "refused";
    readonly retryMilliseconds: number;
    /** What is missing, as in a `PlacementDecision`. */
    readonly missing: "slot" | "rate" | "share" | "memory";
  }
  | { readonly kind: "no-engine" };

/** Properties of a request that decide its placement. */
export interface IPlacementInput {
  readonly failureDomain: string;
  readonly objectiveMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether this is probably a retry after a refusal. */
  readonly isReturned: boolean;
  /** Whether it may have run, so that a refusal would fail it. */
  readonly hasBegun?: boolean | undefined;
  /** Whether it may also stay where it is, see `PlacementRequest`. */
  readonly isAlternative?: boolean | undefined;
  /** Engines that have failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Software version that the engine must have; any if absent. */
  readonly softwareVersion?: string | undefined;
  /**
   * Whether the request goes beyond its caller's fair share; it then gets free
   * slots only.
   */
  readonly isOverShare?: boolean | undefined;
  /** Tokens of its prompt and of the longest output; 0 if not known. */
  readonly tokens?: number | undefined;
  /** By default, the least loaded engine is chosen. */
  readonly chooser?: IEngineChooser | undefined;
  /** Random number from 0 up to, not including, 1. */
  readonly random: number;
  readonly limiter: Pick<
    IEngineRateLimiter,
    "isLimited" | "waitMilliseconds" | "isScarce"
  >;
}

/** Chooses the engine for a live request, or refuses it. */
export function place(
  request: IPlacementInput,
  views: readonly IEngineView[],
): Placement {
  const { excluded, softwareVersion } = request;
  const usable = views.filter(({ engine }) =>
    !engine.isLeaving && !excluded.has(engine.id) &&
    (softwareVersion === undefined ||
      engine.softwareVersion === softwareVersion)
  );
  const healthy = usable.filter((view) => !view.isSuspect);
  const candidates = healthy.length > 0 || request.isAlternative
    ? healthy
    : usable;
  if (candidates.length === 0) return { kind: "no-engine" };
  const isLimited = candidates.some(({ engine }) =>
    request.limiter.isLimited(engine.id)
  );
  const refuse = (
    wait: number,
    missing: "slot" | "rate" | "share" | "memory",
  ): Placement => ({
    kind: "refused",
    retryMilliseconds: Math.max(wait, minimumRetry(request, isLimited)),
    missing,
  });
  const fitting = candidates.filter((view) => hasMemory(view, request.tokens));
  if (fitting.length === 0) return refuse(memoryWait(candidates), "memory");
  const waits = new Map(fitting.map(({ engine }) => [
    engine.id,
    request.limiter.waitMilliseconds(engine.id),
  ]));
  const best = chooseEngine(
    request,
    fitting.filter(({ engine }) => waits.get(engine.id) === 0),
  );
  if (!best) {
    const wait = Math.min(...waits.values(), MAXIMUM_RATE_WAIT_MILLISECONDS);
    return refuse(wait, "rate");
  }
  const wait = expectedWait(best);
  if (wait > 0 && request.isOverShare && !request.hasBegun) {
    return refuse(wait, "share");
  }
  const mayWaitLonger = request.hasBegun ||
    request.isReturned && !isLimited;
  const ratio = mayWaitLonger ? RETRY_MAXIMUM_WAIT_RATIO : MAXIMUM_WAIT_RATIO;
  const maximumWait = request.isAlternative ? 0 : Math.min(
    ratio * request.objectiveMilliseconds,
    request.remainingMilliseconds,
  );
  if (wait <= maximumWait) {
    return { kind: "engine", view: best, waitMilliseconds: wait };
  }
  const rateWaits = [...waits.values()].filter((it) => it > 0);
  return refuse(Math.min(wait, ...rateWaits), "slot");
}

function minimumRetry(
  { random }: IPlacementInput,
  isLimited: boolean,
): number {
  if (!isLimited) return MINIMUM_RETRY_MILLISECONDS;
  return LIMITED_RETRY_MILLISECONDS +
    random * LIMITED_RETRY_SPREAD_MILLISECONDS;
}

/** Uses engines whose limits are scarce only if others have no free slot. */
function chooseEngine(
  request: IPlacementInput,
  views: readonly IEngineView[],
): IEngineView | undefined {
  const { chooser = DEFAULT_CHOOSER } = request;
  const plentiful = chooser.choose(
    request,
    views.filter(({ engine }) => !request.limiter.isScarce(engine.id)),
  );
  const isFree = plentiful !== undefined && expectedWait(plentiful) === 0;
  return isFree ? plentiful : chooser.choose(request, views);
}

/**
 * Whether the memory of an engine holds the request besides its live ones.
 * Items are preempted if their tokens are needed.
 */
function hasMemory(view: IEngineView, tokens: number | undefined): boolean {
  const { memoryTokens, liveTokens = 0 } = view;
  return tokens === undefined || memoryTokens === undefined ||
    liveTokens + tokens <= memoryTokens;
}

/** Time until some engine is expected to complete a request, in ms. */
function memoryWait(views: readonly IEngineView[]): number {
  const waits = views.map(({ meanMilliseconds, engine }) =>
    meanMilliseconds / engine.slots
  );
  return Math.min(...waits);
}
