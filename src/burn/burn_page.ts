import {
  BUCKET_MILLISECONDS,
  type BurnEntry,
  type BurnReport,
  PAGE_BURN_RATE,
  TICKET_BURN_RATE,
} from "./burn_report.ts";
import { renderBurnPlot, SPENDING_OUTCOMES } from "./burn_plot.ts";
import { PAGE_STYLE } from "./page_style.ts";
import { totalCount } from "./outcome_counts.ts";

/** Minutes on the plot of the last hour. */
const PLOTTED_MINUTES = 60;

/** Half hours on the plot of the last day. */
const PLOTTED_HALF_HOURS = 48;

/** Maximum rows in the table of spendings of an entry. */
const MAXIMUM_LISTED_SPENDINGS = 12;

/** Sort order of entries, the most urgent alert first. */
const ALERT_ORDER: BurnEntry["alert"][] = ["page", "ticket", "none"];

/** Renders a report as a self-contained HTML page. */
export function renderBurnPage(report: BurnReport): string {
  const entries = [...report.entries].sort((first, second) =>
    ALERT_ORDER.indexOf(first.alert) - ALERT_ORDER.indexOf(second.alert) ||
    second.budgetSpent - first.budgetSpent
  );
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>Service-level burn</title><style>${PAGE_STYLE}</style></head>`,
    "<body><main><h1>Service-level burn</h1>",
    renderSummary(report),
    renderLegend(),
    ...entries.map((entry) => renderEntry(entry, report.at)),
    "</main></body></html>",
    "",
  ].join("\n");
}

function renderSummary(
  { at, answered, unanswered, entries }: BurnReport,
): string {
  const missing = unanswered.map(({ id, reason }) =>
    `<p class="warning">Requests of <b>${escapeHtml(id)}</b> are missing: ` +
    `${escapeHtml(reason)}</p>`
  );
  const empty = entries.length === 0
    ? "<p>No live requests in the last day.</p>"
    : "";
  return `<p>${new Date(at).toISOString()}, from ${answered.length} ` +
    `instances. A burn rate of 1× spends a day's error budget in a day. ` +
    `<b>page</b>: ${PAGE_BURN_RATE}× over 5 minutes and 1 hour; ` +
    `<b>ticket</b>: ${TICKET_BURN_RATE}× over 1 and 6 hours.</p>` +
    missing.join("") + empty;
}

function renderLegend(): string {
  const keys = SPENDING_OUTCOMES.map((outcome) =>
    `<span><i class="${outcome}"></i>${outcome}</span>`
  );
  return `<p class="legend">${keys.join("")}</p>`;
}

function renderEntry(entry: BurnEntry, now: number): string {
  const { objective } = entry;
  return [
    `<section><h2>${escapeHtml(entry.service)} for ${
      escapeHtml(entry.callerGroup)
    } ` +
    `<span class="alert ${entry.alert}">${alertText(entry)}</span></h2>`,
    `<p>Objective: ${round(objective.share * 100)}% with the first token in ` +
    `${objective.firstTokenMilliseconds} ms and tokens ` +
    `${objective.betweenTokensMilliseconds} ms apart.</p>`,
    renderStatistics(entry),
    '<div class="plots">',
    renderBurnPlot({
      title: "Burn rate by minute, last hour (UTC)",
      buckets: entry.minutes,
      objective,
      bucketMilliseconds: BUCKET_MILLISECONDS.minutes,
      bucketCount: PLOTTED_MINUTES,
      now,
    }),
    renderBurnPlot({
      title: "Burn rate by half hour, last day (UTC)",
      buckets: entry.halfHours,
      objective,
      bucketMilliseconds: BUCKET_MILLISECONDS.halfHours,
      bucketCount: PLOTTED_HALF_HOURS,
      now,
    }),
    "</div>",
    renderSpendings(entry),
    "</section>",
  ].join("\n");
}

function alertText({ alert }: BurnEntry): string {
  return alert === "none" ? "no alert" : alert;
}

function renderStatistics(entry: BurnEntry): string {
  const { burnRates, firstToken, betweenTokens } = entry;
  const latency = ({ count, p50, p95, p99 }: BurnEntry["firstToken"]) =>
    count === 0
      ? "none measured"
      : [p50, p95, p99].map((value) => value.toFixed(0)).join(" / ");
  const figures = [
    ["Requests, 24 h", String(totalCount(entry.counts))],
    ["Budget spent, 24 h", `${(entry.budgetSpent * 100).toFixed(0)}%`],
    ["Burn 5 min", `${burnRates.fiveMinutes.toFixed(1)}×`],
    ["Burn 1 h", `${burnRates.oneHour.toFixed(1)}×`],
    ["Burn 6 h", `${burnRates.sixHours.toFixed(1)}×`],
    ["First token p50 / p95 / p99, ms", latency(firstToken)],
    ["Between tokens p50 / p95 / p99, ms", latency(betweenTokens)],
  ];
  const items = figures.map(([name, value]) =>
    `<div><dt>${name}</dt><dd>${value}</dd></div>`
  );
  return `<dl>${items.join("")}</dl>`;
}

function renderSpendings({ spending }: BurnEntry): string {
  if (spending.length === 0) return "<p>Nothing spent the error budget.</p>";
  const total = spending.reduce((sum, { count }) => sum + count, 0);
  const rows = spending.slice(0, MAXIMUM_LISTED_SPENDINGS).map((spending) =>
    `<tr><td><i class="${spending.outcome}"></i>${spending.outcome}</td>` +
    `<td>${escapeHtml(spending.target ?? "none chosen")}</td>` +
    `<td>${escapeHtml(spending.failureDomain ?? "")}</td>` +
    `<td class="number">${spending.count}</td>` +
    `<td class="number">${(spending.count / total * 100).toFixed(0)}%</td></tr>`
  );
  return "<h3>Error budget spent by</h3><table><thead><tr><th>Outcome</th>" +
    "<th>Target</th><th>Failure domain</th>" +
    '<th class="number">Requests</th><th class="number">Share</th>' +
    `</tr></thead><tbody>${rows.join("")}</tbody></table>`;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll('"', "&quot;");
}
