/** Requests in progress of a caller, and its weight among the callers. */
export interface ICallerDemand {
  readonly inProgress: number;
  readonly weight: number;
}

/**
 * Whether one more request of a caller goes beyond its weighted max-min share
 * of a number of slots.
 *
 * Each caller may use slots in proportion to its weight; what some leave unused
 * is divided among the others. One request in progress is always within the
 * share.
 *
 * @param others callers with requests in progress, without the asking one.
 */
export function exceedsFairShare(
  asking: ICallerDemand,
  others: readonly ICallerDemand[],
  slots: number,
): boolean {
  const wanted = asking.inProgress + 1;
  if (wanted <= 1) return false;
  const demands = [{ ...asking, inProgress: wanted }, ...others]
    .filter(({ inProgress }) => inProgress > 0)
    .sort((first, second) => levelOf(first) - levelOf(second));
  let remaining = slots;
  let weights = demands.reduce((sum, { weight }) => sum + weight, 0);
  for (const { inProgress, weight } of demands) {
    const level = remaining / weights;
    // All following callers want at least this level, so it is final.
    if (inProgress > level * weight) return wanted > level * asking.weight;
    remaining -= inProgress;
    weights -= weight;
  }
  return false;
}

/** Level of a fair division at which a demand is met completely. */
function levelOf({ inProgress, weight }: ICallerDemand): number {
  return inProgress / weight;
}
