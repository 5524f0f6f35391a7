import { err, ok } from "neverthrow";
import type { z } from "zod";
import {
  CALLER_LIMITS_PATH,
  callerLimitReportSchema,
} from "../../admission/mod.ts";
import {
  WAITING_TOKENS_PATH,
  waitingTokenReportSchema,
} from "../../bulk/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { ExitCode } from "../exit_code.ts";
import type { HttpClient } from "../http_client.ts";
import { createStoresClients, storesArgument } from "../http_clients.ts";
import { formatTable } from "../output.ts";

type Report = z.infer<typeof waitingTokenReportSchema>;

type CallerReport = z.infer<typeof callerLimitReportSchema>;

/** `figroad limits`: shows limits of waiting tokens and of callers' requests. */
export const limits = defineCliCommand({
  name: "limits",
  description: "Show limits of waiting tokens and of callers, use, refusals",
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
      refusedJobs: countRefusedJobs(reports, usage),
    }));
    const callers = await readCallers(clients.value);
    output.result({ leader: leader.instance, routes, callers }, () => [
      `leader: ${leader.instance}`,
      ...routeLines(routes),
      ...callerLines(callers),
    ]);
    const isComplete = reports.length === answers.length;
    return ok(isComplete ? ExitCode.done : ExitCode.incomplete);
  },
});

function routeLines(routes: Report["routes"]): string[] {
  const hasCallers = routes.some(({ caller }) => caller !== undefined);
  const callerCells = (cell: string) => hasCallers ? [cell] : [];
  return formatTable(
    [
      "ROUTE",
      ...callerCells("CALLER"),
      ...["WAITING TOKENS", "LIMIT", "REFUSED JOBS"],
    ],
    routes.map(({ route, caller, waitingTokens, limit, refusedJobs }) => [
      route,
      ...callerCells(caller ?? "-"),
      String(waitingTokens),
      String(limit),
      String(refusedJobs),
    ]),
  );
}

/** Adds the refusals of all stores, since each counts those it has made. */
function countRefusedJobs(
  reports: readonly Report[],
  { route, caller }: Report["routes"][number],
): number {
  const counts = reports.flatMap(({ routes }) =>
    routes.filter((usage) => usage.route === route && usage.caller === caller)
  );
  return counts.reduce((sum, { refusedJobs }) => sum + refusedJobs, 0);
}

/** Reads the use of callers' limits from the leader, if it answers. */
async function readCallers(
  clients: readonly HttpClient[],
): Promise<CallerReport["callers"]> {
  const answers = await Promise.all(
    clients.map((client) =>
      client.fetch({ path: CALLER_LIMITS_PATH }, callerLimitReportSchema)
    ),
  );
  return answers.flatMap((answer) =>
    answer.isOk() && answer.value.isLeader ? answer.value.callers : []
  );
}

function callerLines(callers: CallerReport["callers"]): string[] {
  if (callers.length === 0) return [];
  return [
    "",
    ...formatTable(
      ["CALLER", "PER SECOND", "BURST", "FREE", "RUNNING", "SENT", "REFUSED"],
      callers.map((caller) => [
        caller.caller,
        String(caller.perSecond),
        String(caller.burst),
        String(caller.available),
        String(caller.inProgress),
        String(caller.admitted),
        String(caller.refused),
      ]),
    ),
  ];
}
