import type { CallerRecord } from "../configuration/mod.ts";

/** A limit in two parts. */
export interface ILimitParts {
  /** What every instance may use on its own. */
  readonly fixed: number;
  /** What the owner lends to the instances that need it. */
  readonly lent: number;
}

/** Both limits of a caller in their parts. */
export interface ICallerLimitParts {
  readonly slots: ILimitParts;
  readonly requestsPerSecond: ILimitParts;
}

/** Part of a limit that is divided equally when it is large enough. */
const FIXED_SHARE = 1 / 2;

/**
 * Divides a caller's limits over a number of instances.
 *
 * The fixed parts of all instances and the lent part make up the limit. A
 * limit too small to give each instance one is lent out whole.
 */
export function divideLimits(
  caller: CallerRecord,
  instances: number,
): ICallerLimitParts {
  const { concurrentRequests, requestsPerSecond } = caller.limits;
  const slots = Math.floor(concurrentRequests * FIXED_SHARE / instances);
  const rate = requestsPerSecond * FIXED_SHARE / instances;
  const fixedRate = rate >= 1 ? rate : 0;
  return {
    slots: { fixed: slots, lent: concurrentRequests - slots * instances },
    requestsPerSecond: {
      fixed: fixedRate,
      lent: requestsPerSecond - fixedRate * instances,
    },
  };
}
