import type { Objective } from "../configuration/mod.ts";
import { burnRate } from "./burn_report.ts";
import type { OutcomeBucket } from "./messages.ts";

/** Size of a plot and of the space around it, in SVG units. */
const WIDTH = 640;
const HEIGHT = 190;
const MARGIN = { top: 16, right: 12, bottom: 26, left: 44 };
const PLOT_WIDTH = WIDTH - MARGIN.left - MARGIN.right;
const PLOT_HEIGHT = HEIGHT - MARGIN.top - MARGIN.bottom;

/** Width of a bar as a share of the width of its time bucket. */
const BAR_WIDTH_RATIO = 0.8;

/** Minimum burn rate at the upper end of the scale. */
const MINIMUM_SCALE_MAXIMUM = 2;

/** Upper end of the scale beyond which the labels of 0 and 1 overlap. */
const CROWDED_SCALE_MAXIMUM = 8;

/** Number of labels on the time axis. */
const TIME_LABEL_COUNT = 6;

/** Outcomes that spend error budget, in stacking order from the bottom. */
export const SPENDING_OUTCOMES = ["failed", "refused", "late"] as const;

/** Content of a plot. */
export interface IBurnPlot {
  readonly title: string;
  readonly buckets: readonly OutcomeBucket[];
  readonly objective: Objective;
  /** Length of a time bucket, in milliseconds. */
  readonly bucketMilliseconds: number;
  /** Number of time buckets on the axis; the last one contains `now`. */
  readonly bucketCount: number;
  /** Milliseconds since the Unix epoch. */
  readonly now: number;
}

/** Renders burn rates over time as an SVG bar chart, a bar per time bucket. */
export function renderBurnPlot(plot: IBurnPlot): string {
  const rates = plot.buckets.map(({ counts }) =>
    burnRate(counts, plot.objective)
  );
  const scaleMaximum = Math.max(MINIMUM_SCALE_MAXIMUM, ...rates.map(Math.ceil));
  const bars = plot.buckets.map((bucket) =>
    renderBar(bucket, plot, scaleMaximum)
  );
  return [
    `<figure><figcaption>${plot.title}</figcaption>`,
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" ` +
    `aria-label="${plot.title}">`,
    ...renderRateAxis(scaleMaximum),
    ...bars,
    ...renderTimeAxis(plot),
    "</svg></figure>",
  ].join("\n");
}

function renderRateAxis(scaleMaximum: number): string[] {
  const levels = [
    ...new Set([0, 1, Math.round(scaleMaximum / 2), scaleMaximum]),
  ];
  const isCrowded = scaleMaximum > CROWDED_SCALE_MAXIMUM;
  const right = MARGIN.left + PLOT_WIDTH;
  return levels.map((level) => {
    const y = yCoordinate(level, scaleMaximum);
    const cssClass = level === 1 ? "limit" : "grid";
    return `<line class="${cssClass}" x1="${MARGIN.left}" x2="${right}" ` +
      `y1="${y}" y2="${y}"/>` +
      `<text x="${MARGIN.left - 6}" y="${y + 4}" text-anchor="end">` +
      `${level === 0 && isCrowded ? "" : `${level}×`}</text>`;
  });
}

function renderBar(
  { at, counts }: OutcomeBucket,
  plot: IBurnPlot,
  scaleMaximum: number,
): string {
  const width = PLOT_WIDTH / plot.bucketCount;
  const x = MARGIN.left +
    (at - axisStart(plot)) / plot.bucketMilliseconds * width;
  if (x < MARGIN.left) return "";
  const total = burnRate(counts, plot.objective);
  const bad = counts.late + counts.refused + counts.failed;
  let base = 0;
  const parts = SPENDING_OUTCOMES.map((outcome) => {
    const rate = bad === 0 ? 0 : total * counts[outcome] / bad;
    const upper = yCoordinate(base + rate, scaleMaximum);
    const height = yCoordinate(base, scaleMaximum) - upper;
    base += rate;
    if (height === 0) return "";
    return `<rect class="${outcome}" x="${round(x)}" y="${round(upper)}" ` +
      `width="${round(width * BAR_WIDTH_RATIO)}" height="${round(height)}"/>`;
  });
  const label = `${timeLabel(at)} UTC: burn ${total.toFixed(1)}×, ` +
    `${counts.failed} failed, ${counts.refused} refused, ` +
    `${counts.late} late, ${counts.good} good`;
  return `<g><title>${label}</title>${parts.join("")}</g>`;
}

function renderTimeAxis(plot: IBurnPlot): string[] {
  const step = plot.bucketCount / TIME_LABEL_COUNT;
  return Array.from({ length: TIME_LABEL_COUNT }, (_, index) => {
    const offset = Math.round(index * step);
    const x = MARGIN.left + offset / plot.bucketCount * PLOT_WIDTH;
    const label = timeLabel(axisStart(plot) + offset * plot.bucketMilliseconds);
    return `<text x="${round(x)}" y="${HEIGHT - 8}">${label}</text>`;
  });
}

/** Start of the time axis, in milliseconds since the Unix epoch. */
function axisStart(
  { now, bucketMilliseconds, bucketCount }: IBurnPlot,
): number {
  return Math.floor(now / bucketMilliseconds) * bucketMilliseconds -
    (bucketCount - 1) * bucketMilliseconds;
}

function yCoordinate(rate: number, scaleMaximum: number): number {
  return MARGIN.top + PLOT_HEIGHT * (1 - rate / scaleMaximum);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function timeLabel(at: number): string {
  return new Date(at).toISOString().slice(11, 16);
}
