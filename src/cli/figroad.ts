#!/usr/bin/env node
import process from "node:process";
import { stripVTControlCharacters } from "node:util";
import {
  type CommandDef,
  defineCommand,
  renderUsage,
  runCommand,
  runMain,
} from "citty";
import { configApply } from "./commands/config_apply.ts";
import { configCheck } from "./commands/config_check.ts";
import { configHistory } from "./commands/config_history.ts";
import { configShow } from "./commands/config_show.ts";
import { explain } from "./commands/explain.ts";
import { jobCancel } from "./commands/job_cancel.ts";
import { jobList } from "./commands/job_list.ts";
import { jobResults } from "./commands/job_results.ts";
import { jobStatus } from "./commands/job_status.ts";
import { jobSubmit } from "./commands/job_submit.ts";
import { limits } from "./commands/limits.ts";
import { logsExplain } from "./commands/logs_explain.ts";
import { logsRequest } from "./commands/logs_request.ts";
import { reportBurn } from "./commands/report_burn.ts";
import { settingsCheck } from "./commands/settings_check.ts";
import { status } from "./commands/status.ts";
import {
  votersAdd,
  votersList,
  votersPromote,
  votersRemove,
  votersTransfer,
} from "./commands/voters.ts";
import { ExitCode } from "./exit_code.ts";

/** Options that print the usage of a command. */
const HELP_OPTIONS = ["--help", "-h"];

/** Defines a group of commands, such as `figroad config`. */
function defineGroup(
  name: string,
  description: string,
  subCommands: Record<string, CommandDef>,
): CommandDef {
  return defineCommand({ meta: { name, description }, subCommands });
}

const figroad = defineCommand({
  meta: {
    name: "figroad",
    description: "Operates figroad and submits batch jobs to it",
  },
  subCommands: {
    status,
    config: defineGroup("config", "Inventory and rules of the fleet", {
      check: configCheck,
      show: configShow,
      apply: configApply,
      history: configHistory,
    }),
    settings: defineGroup("settings", "Settings of one daemon", {
      check: settingsCheck,
    }),
    voters: defineGroup("voters", "Voters and learners of the control log", {
      list: votersList,
      add: votersAdd,
      promote: votersPromote,
      remove: votersRemove,
      transfer: votersTransfer,
    }),
    job: defineGroup("job", "Batch jobs of a caller", {
      submit: jobSubmit,
      status: jobStatus,
      list: jobList,
      results: jobResults,
      cancel: jobCancel,
    }),
    limits,
    explain,
    report: defineGroup("report", "Reports on the whole fleet", {
      burn: reportBurn,
    }),
    logs: defineGroup("logs", "Events in the logs", {
      explain: logsExplain,
      request: logsRequest,
    }),
  },
});

/** Prints the usage of a command, with colours only on a terminal. */
async function showUsage(
  command: CommandDef,
  parent?: CommandDef,
): Promise<void> {
  const usage = await renderUsage(command, parent);
  const plain = process.stdout.isTTY ? usage : stripVTControlCharacters(usage);
  process.stdout.write(`${plain}\n`);
}

/** Runs a command line; a usage error prints one line on standard error. */
async function main(rawArgs: string[]): Promise<void> {
  if (rawArgs.some((argument) => HELP_OPTIONS.includes(argument))) {
    return await runMain(figroad, {
      rawArgs,
      showUsage: showUsage as never,
    });
  }
  try {
    await runCommand(figroad, { rawArgs });
  } catch (error) {
    const text = stripVTControlCharacters((error as Error).message);
    const message = text.replace(/\.$/, "");
    process.stderr.write(`figroad: ${message}; see figroad --help\n`);
    process.exitCode = ExitCode.usage;
  }
}

await main(process.argv.slice(2));
