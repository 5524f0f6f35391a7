import type { CallerRecord } from "../configuration/mod.ts";

/** A limit divided into two parts. */
export interface ILimitParts {
  /** Part that each instance may use without borrowing. */
  readonly fixed: number;
  /** Part that the owner lends to the instances that need it. */
  readonly lent: number;
}

/** Both limits of a caller, divided into parts. */
export interface ICallerLimitParts {
  readonly slots: ILimitParts;
  readonly requestsPerSecond: ILimitParts;
}

/**
 * Share of a limit that is divided equally between the instances, if the limit
 * is large enough.
 */
const FIXED_SHARE = 1 / 2;

/**
 * Divides a caller's limits between a number of instances.
 *
 * The fixed parts of all instances and the lent part add up to the limit. If
 * the fixed part would be less than one slot, or one request a second, for
 * each instance, the whole limit is lent.
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
