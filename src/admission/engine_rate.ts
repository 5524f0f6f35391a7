/**
 * Smallest rate of requests to an engine, in requests a second. Without any
 * request, an engine could not tell that its limit has ended.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.2;

/** Rate at which requests are sent to an engine that names a limit. */
export function minimumRate(limitPerSecond: number): number {
  return Math.max(limitPerSecond, MINIMUM_REQUESTS_PER_SECOND);
}
