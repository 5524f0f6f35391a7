import { isIP } from "node:net";
import { err, type Result } from "neverthrow";
import { z } from "zod";
import { defineCliCommand } from "../define_cli_command.ts";
import {
  createOperatorsClient,
  operatorsArgument,
  usageError,
} from "../http_clients.ts";
import { ExitCode, type ICliFailure } from "../exit_code.ts";
import type { HttpClient } from "../http_client.ts";
import type { Member } from "../../membership/mod.ts";
import { statusSchema } from "../../operators/mod.ts";
import { formatTable, type Output } from "../output.ts";

const replicaSchema = z.looseObject({
  id: z.string(),
  address: z.string().optional(),
  port: z.number().optional(),
  failureDomain: z.string().optional(),
});
type Replica = z.infer<typeof replicaSchema>;

/** Body of the answer to `GET /voters` and `POST /voters`. */
export const votersSchema = z.looseObject({
  leader: z.string().nullish(),
  voters: z.array(replicaSchema),
  learners: z.array(replicaSchema).default([]),
});
export type Voters = z.infer<typeof votersSchema>;

/** `figroad voters list`: lists the replicas of the control log. */
export const votersList = defineCliCommand({
  name: "list",
  description: "List the control voters and learners",
  args: operatorsArgument,
  async run(args, output) {
    const clientResult = createOperatorsClient(args);
    if (clientResult.isErr()) return err(clientResult.error);
    return await printReplicas(clientResult.value, output);
  },
});

/** `figroad voters add ID`: adds a replica as a learner. */
export const votersAdd = defineCliCommand({
  name: "add",
  description: "Add a replica of the control log as a learner",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Identifier of the new replica's instance",
    },
    address: { type: "string", required: true, description: "IP address" },
    port: { type: "string", required: true, description: "Port for peers" },
    "failure-domain": {
      type: "string",
      required: true,
      description: "Failure domain of the instance",
    },
    ...operatorsArgument,
  },
  run(args, output) {
    const port = Number(args.port);
    if (isIP(args.address) === 0) {
      return Promise.resolve(usageError("--address must be an IP address"));
    }
    if (!Number.isInteger(port) || port < 1 || port > 65_535) {
      return Promise.resolve(
        usageError("--port must be a number from 1 to 65535"),
      );
    }
    const voter = {
      id: args.id,
      address: args.address,
      port,
      failureDomain: args["failure-domain"],
    };
    return changeReplicas(args, { action: "add", voter }, output);
  },
});

/** `figroad voters promote ID`: makes a caught-up learner a voter. */
export const votersPromote = defineReplicaCommand(
  "promote",
  "Make a learner that has caught up a voter",
);

/** `figroad voters remove ID`: removes a replica of the control log. */
export const votersRemove = defineReplicaCommand(
  "remove",
  "Remove a replica of the control log",
);

/** `figroad voters transfer [ID]`: transfers leadership. */
export const votersTransfer = defineCliCommand({
  name: "transfer",
  description: "Transfer leadership to another voter",
  args: {
    id: {
      type: "positional",
      required: false,
      description: "New leader (default: any voter that has caught up)",
    },
    ...operatorsArgument,
  },
  run: (args, output) => {
    const voter = args.id === undefined ? undefined : { id: args.id };
    return changeReplicas(args, { action: "transfer", voter }, output);
  },
});

function defineReplicaCommand(action: string, description: string) {
  return defineCliCommand({
    name: action,
    description,
    args: {
      id: {
        type: "positional",
        required: true,
        description: "Identifier of the instance",
      },
      ...operatorsArgument,
    },
    run: (args, output) =>
      changeReplicas(args, { action, voter: { id: args.id } }, output),
  });
}

async function changeReplicas(
  args: { operators?: string },
  body: { action: string; voter: Replica | undefined },
  output: Output,
): Promise<Result<ExitCode, ICliFailure>> {
  const clientResult = createOperatorsClient(args);
  if (clientResult.isErr()) return err(clientResult.error);
  const message = { method: "POST", path: "/voters", json: body } as const;
  const changed = await clientResult.value.fetch(message, z.unknown());
  if (changed.isErr()) return err(changed.error);
  output.note(["done:", body.action, body.voter?.id].filter(Boolean).join(" "));
  return await printReplicas(clientResult.value, output);
}

/** Prints the replicas with the failure domains that they report. */
async function printReplicas(
  client: HttpClient,
  output: Output,
): Promise<Result<ExitCode, ICliFailure>> {
  const read = await client.fetch({ path: "/voters" }, votersSchema);
  const status = await client.fetch({ path: "/status" }, statusSchema);
  const members = status.map(({ members }) => members).unwrapOr([]);
  return read.map((voters) => {
    output.result(voters, () => replicaLines(voters, members));
    return ExitCode.done;
  });
}

function replicaLines(
  { leader, voters, learners }: Voters,
  members: readonly Member[],
): string[] {
  const row = (kind: string) => ({ id, address, port }: Replica) => [
    id,
    id === leader ? "leader" : kind,
    members.find((member) => member.id === id)?.failureDomain ?? "unknown",
    address ? `${address}:${port}` : "",
  ];
  return formatTable(["INSTANCE", "ROLE", "FAILURE DOMAIN", "ADDRESS"], [
    ...voters.map(row("voter")),
    ...learners.map(row("learner")),
  ]);
}
