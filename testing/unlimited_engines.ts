import type { IItemRateLimiter } from "../src/admission/mod.ts";

/** Limiter for tests in which no engine names a limit. */
export const unlimitedEngines: IItemRateLimiter = {
  waitMilliseconds: () => 0,
  isScarce: () => false,
  take: () => {},
  startableItems: () => Number.POSITIVE_INFINITY,
  takeForItem: () => {},
};
