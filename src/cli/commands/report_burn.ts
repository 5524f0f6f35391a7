import { writeFile } from "node:fs/promises";
import { err, ok } from "neverthrow";
import {
  type BurnEntry,
  type BurnReport,
  burnReportSchema,
  type Latency,
  renderBurnPage,
  type Spending,
} from "../../burn/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { createOperatorsClient, operatorsArgument } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTable } from "../output.ts";

/** Maximum number of causes listed for each entry. */
const MAXIMUM_LISTED_SPENDINGS = 5;

/** `figroad report burn`: reports error budgets and what consumed them. */
export const reportBurn = defineCliCommand({
  name: "burn",
  description: "Report burn rates of error budgets and what consumed them",
  args: {
    ...operatorsArgument,
    html: {
      type: "string",
      description: "Write an HTML page with plots to this file",
    },
  },
  async run(args, output) {
    const read = await createOperatorsClient(args).asyncAndThen((client) =>
      client.fetch({ path: "/burn" }, burnReportSchema)
    );
    if (read.isErr()) return err(read.error);
    const report = read.value;
    if (args.html !== undefined) {
      try {
        await writeFile(args.html, renderBurnPage(report));
      } catch (error) {
        const message = `${args.html} cannot be written (${error})`;
        return err({ exitCode: ExitCode.failed, message });
      }
      output.note(`wrote ${args.html}`);
    }
    output.result(report, () => reportLines(report));
    for (const { id, reason } of report.unanswered) {
      output.note(`requests of ${id} are missing: ${reason}`);
    }
    const complete = report.unanswered.length === 0;
    return ok(complete ? ExitCode.done : ExitCode.incomplete);
  },
});

function reportLines({ entries }: BurnReport): string[] {
  if (entries.length === 0) return ["no live requests in the last day"];
  return [
    ...formatTable([
      "SERVICE",
      "CALLERS",
      "OBJECTIVE",
      "REQUESTS",
      "BUDGET SPENT",
      "BURN 5M",
      "1H",
      "6H",
      "ALERT",
      "FIRST TOKEN P95",
      "BETWEEN P95",
    ], entries.map(entryRow)),
    ...entries.flatMap(spendingLines),
  ];
}

function entryRow(entry: BurnEntry): string[] {
  const { objective, burnRates, counts } = entry;
  const total = counts.good + counts.late + counts.refused + counts.failed;
  return [
    entry.service,
    entry.callerGroup,
    `${objective.share * 100}% in ${objective.firstTokenMilliseconds}/` +
    `${objective.betweenTokensMilliseconds} ms`,
    String(total),
    `${(entry.budgetSpent * 100).toFixed(0)}%`,
    burnRates.fiveMinutes.toFixed(1),
    burnRates.oneHour.toFixed(1),
    burnRates.sixHours.toFixed(1),
    entry.alert,
    latencyCell(entry.firstToken),
    latencyCell(entry.betweenTokens),
  ];
}

/** Answers that were not streamed have no token latencies. */
function latencyCell({ count, p95 }: Latency): string {
  return count === 0 ? "-" : `${p95.toFixed(0)} ms`;
}

function spendingLines(entry: BurnEntry): string[] {
  if (entry.spending.length === 0) return [];
  return [
    "",
    `${entry.service} for ${entry.callerGroup}, spent on:`,
    ...entry.spending.slice(0, MAXIMUM_LISTED_SPENDINGS).map(spendingLine),
  ];
}

function spendingLine(spending: Spending): string {
  const { outcome, count, target, failureDomain } = spending;
  const location = target
    ? `at ${target}${failureDomain ? ` in ${failureDomain}` : ""}`
    : "before a target was chosen";
  return `  ${count} ${outcome} ${location}`;
}
