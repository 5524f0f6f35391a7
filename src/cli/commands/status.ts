import { err } from "neverthrow";
import { defineCliCommand } from "../define_cli_command.ts";
import {
  createOperatorsClient,
  createStoresClients,
  operatorsArgument,
  storesArgument,
} from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTable } from "../output.ts";
import { type Status, statusSchema } from "../../operators/mod.ts";
import {
  type AcceptedConfiguration,
  type Engine,
  type Rollout,
} from "../../configuration/mod.ts";
import type { Member } from "../../membership/mod.ts";
import { showPlatformStatus } from "./platform_status.ts";
import { readRollout } from "../rollout.ts";
import { type Voters, votersSchema } from "./voters.ts";
import { configurationResponseSchema } from "./config_show.ts";

/** `figroad status`: shows instances, targets, leader and configuration. */
export const status = defineCliCommand({
  name: "status",
  description: "Show instances, targets, the leader and versions in force",
  args: { ...operatorsArgument, ...storesArgument },
  async run(args, output) {
    if (args.stores !== undefined) {
      const clients = createStoresClients(args);
      if (clients.isErr()) return err(clients.error);
      return await showPlatformStatus(clients.value, output);
    }
    const clientResult = createOperatorsClient(args);
    if (clientResult.isErr()) return err(clientResult.error);
    const client = clientResult.value;
    const read = await client.fetch({ path: "/status" }, statusSchema);
    if (read.isErr()) return err(read.error);
    const response = await client.fetch(
      { path: "/configuration" },
      configurationResponseSchema,
    );
    const accepted = response.map(({ accepted }) => accepted ?? undefined);
    const configuration = accepted.unwrapOr(undefined);
    const rollout = await readRollout(client, configuration?.version ?? 0);
    const voters = await client.fetch({ path: "/voters" }, votersSchema);
    return read.map((status) => {
      const control = voters.unwrapOr(status.log);
      const targets = configuration?.document.engines ?? [];
      output.result(
        {
          ...status,
          control,
          acceptedVersion: configuration?.version,
          rollout: rollout.unwrapOr(undefined),
          targets,
        },
        () => [
          ...summaryLines(status, control, configuration),
          "",
          ...instanceLines(status, rollout.unwrapOr(undefined)),
          "",
          ...targetLines(targets),
        ],
      );
      if (accepted.isErr()) {
        output.note(`configuration not readable: ${accepted.error.message}`);
      }
      if (!status.connected) {
        output.note("instances are listed as last reported by a leader");
      }
      return status.connected ? ExitCode.done : ExitCode.incomplete;
    });
  },
});

function summaryLines(
  { instance, connected }: Status,
  control: Voters | undefined,
  configuration: AcceptedConfiguration | undefined,
): string[] {
  const connection = connected
    ? "connected to the leader"
    : "NOT connected to the leader";
  const leader = control
    ? `leader: ${control.leader ?? "none known"}, ` +
      `voters: ${control.voters.map(({ id }) => id).join(", ")}`
    : "leader: none answers, and this instance is not a control voter";
  return [
    `asked ${instance.id}, which is ${connection}`,
    leader,
    configuration
      ? `configuration: version ${configuration.version} by ` +
        configuration.operator
      : "configuration: none accepted, or not readable",
  ];
}

function instanceLines(
  { members }: Status,
  rollout: Rollout | undefined,
): string[] {
  return formatTable(
    [
      "INSTANCE",
      "REGION",
      "FAILURE DOMAIN",
      "HEALTH",
      "STATE",
      "CONFIGURATION",
    ],
    members.map((member) => [
      member.id,
      member.region,
      member.failureDomain,
      member.health,
      member.state,
      versionCell(member, rollout),
    ]),
  );
}

/** Prefers the leader's rollout to the member list, which may be older. */
function versionCell(
  { id, configurationVersion }: Member,
  rollout: Rollout | undefined,
): string {
  if (!rollout) return `${configurationVersion} (last reported)`;
  if (rollout.inForce.includes(id)) return String(rollout.version);
  const missing = rollout.missing.find((entry) => entry.id === id);
  if (missing) return `not ${rollout.version}: ${missing.reason}`;
  return "unknown";
}

function targetLines(targets: readonly Engine[]): string[] {
  return formatTable(
    ["TARGET", "SERVICE", "FAILURE DOMAIN", "ADDRESS"],
    targets.map(({ id, service, failureDomain, address, port }) => [
      id,
      service,
      failureDomain,
      `${address}:${port}`,
    ]),
  );
}
