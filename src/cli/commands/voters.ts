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

/** Answer of `GET /voters` and `POST /voters`. */
export const votersSchema = z.looseObject({
  leader: z.string().nullish(),
  voters: z.array(replicaSchema),
  learners: z.array(replicaSchema).default([]),
});
export type Voters = z.infer<typeof votersSchema>;

/** `figroad voters list`: who holds the control log. */
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

/** `figroad voters add ID`: a new replica starts as a learner. */
export const votersAdd = defineCliCommand({
  name: "add",
  description: "Add a replica of the control log as a learner",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Instance that joins",
    },
    address: { type: "string", required: true, description: "IP number" },
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
      return Promise.resolve(usageError("--address is an IP number"));
    }
    if (!Number.isInteger(port) || port < 1 || port > 65_535) {
      return Promise.resolve(
        usageError("--port is a number from 1 to 65535"),
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

/** `figroad voters promote ID`: a learner that caught up gets its vote. */
export const votersPromote = defineReplicaCommand(
  "promote",
  "Give a learner that has caught up its vote",
);

/** `figroad voters remove ID`: takes a replica out of the control log. */
export const votersRemove = defineReplicaCommand(
  "remove",
  "Take a replica out of the control log",
);

/** `figroad voters transfer [ID]`: another voter leads. */
export const votersTransfer = defineCliCommand({
  name: "transfer",
  description: "Hand leadership to another voter",
  args: {
    id: {
      type: "positional",
      required: false,
      description: "Voter to lead; any that has caught up by default",
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

/** Prints the replicas with the failure domains that they tell themselves. */
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
