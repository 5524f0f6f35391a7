/** Returns the median of values, or 0 if there are none. */
export function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

/** Returns a quantile of values by rank, or 0 if there are none. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  const rank = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * fraction),
  );
  return sorted[rank] ?? 0;
}

/** A fitted straight line. */
export interface ILine {
  readonly slope: number;
  readonly offset: number;
  /** Largest vertical distance of a point from the line. */
  readonly spread: number;
}

/** Fits a straight line by least squares. */
export function fitLine(
  points: readonly { x: number; y: number }[],
): ILine {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const offset = meanY - slope * meanX;
  const distances = points.map(({ x, y }) => Math.abs(y - offset - slope * x));
  return { slope, offset, spread: Math.max(...distances) };
}
