import { err, ok } from "neverthrow";
import type { z } from "zod";
import {
  WAITING_TOKENS_PATH,
  waitingTokenReportSchema,
} from "../../bulk/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { ExitCode } from "../exit_code.ts";
import { createStoresClients, storesArgument } from "../http_clients.ts";
import { formatTable } from "../output.ts";

type Report = z.infer<typeof waitingTokenReportSchema>;

/** `figroad limits`: shows the limits of waiting batch tokens and their use. */
export const limits = defineCliCommand({
  name: "limits",
  description: "Show the limits of waiting batch tokens, their use, refusals",
  args: storesArgument,
  async run(args, output) {
    const clients = createStoresClients(args);
    if (clients.isErr()) return err(clients.error);
    const answers = await Promise.all(
      clients.value.map((client) =>
        client.fetch({ path: WAITING_TOKENS_PATH }, waitingTokenReportSchema)
      ),
    );
    const reports: Report[] = [];
    for (const answer of answers) {
      if (answer.isOk()) reports.push(answer.value);
      else output.note(answer.error.message);
    }
    const leader = reports.find(({ isLeader }) => isLeader);
    if (!leader) {
      const message = "none of the stores that answered is the leader";
      return err({ exitCode: ExitCode.noAnswer, message });
    }
    const routes = leader.routes.map((usage) => ({
      ...usage,
      refusedJobs: countRefusedJobs(reports, usage.route),
    }));
    output.result({ leader: leader.instance, routes }, () => [
      `leader: ${leader.instance}`,
      ...formatTable(
        ["ROUTE", "WAITING TOKENS", "LIMIT", "REFUSED JOBS"],
        routes.map(({ route, waitingTokens, limit, refusedJobs }) => [
          route,
          String(waitingTokens),
          String(limit),
          String(refusedJobs),
        ]),
      ),
    ]);
    const isComplete = reports.length === answers.length;
    return ok(isComplete ? ExitCode.done : ExitCode.incomplete);
  },
});

/** Adds the refusals of all stores, since each counts those it has made. */
function countRefusedJobs(reports: readonly Report[], route: string): number {
  const counts = reports.flatMap(({ routes }) =>
    routes.filter((usage) => usage.route === route)
  );
  return counts.reduce((sum, { refusedJobs }) => sum + refusedJobs, 0);
}
