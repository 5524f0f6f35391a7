import type { IItemRateLimiter } from "../src/admission/mod.ts";

/** Limiter for tests in which no engine names a limit. */
export const unlimitedEngines: IItemRateLimiter = {
  isLimited: () => false,
  waitMilliseconds: () => 0,
  isScarce: () => false,
  take: () => {},
  startableItems: () => Number.POSITIVE_INFINITY,
  takeForItem: () => {},
};
