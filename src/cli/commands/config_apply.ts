import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import { configurationSchema, type Rollout } from "../../configuration/mod.ts";
import { applyChange } from "../apply_change.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import {
  createOperatorsClient,
  operatorsArgument,
  usageError,
} from "../http_clients.ts";
import { ExitCode, type ICliFailure } from "../exit_code.ts";
import type { HttpClient } from "../http_client.ts";
import { formatCount, type Output } from "../output.ts";
import { Progress } from "../progress.ts";
import { readDocument } from "../read_document.ts";
import { isComplete, waitForRollout } from "../rollout.ts";
import { configurationResponseSchema } from "./config_show.ts";

/** Default time to wait for all live instances, in seconds. */
const DEFAULT_WAIT_SECONDS = "10";

/** `figroad config apply FILE`: changes the configuration of the fleet. */
export const configApply = defineCliCommand({
  name: "apply",
  description: "Replace the configuration and wait until it is in force",
  args: {
    file: {
      type: "positional",
      required: true,
      description: "JSON with comments",
    },
    ...operatorsArgument,
    "change-id": {
      type: "string",
      description:
        "Identifier of the change; pass it again to retry a change " +
        "whose answer was lost",
    },
    "expect-version": {
      type: "string",
      description: "Version that the change is based on (default: the newest)",
    },
    operator: {
      type: "string",
      description:
        "Name recorded with the change (default: the user's login name)",
    },
    wait: {
      type: "string",
      default: DEFAULT_WAIT_SECONDS,
      description: "Seconds to wait for all live instances; 0 to not wait",
    },
  },
  async run(args, output) {
    const document = await readDocument(args.file, configurationSchema);
    if (document.isErr()) return err(document.error);
    const seconds = Number(args.wait);
    if (!(seconds >= 0)) return usageError("--wait needs a number of seconds");
    const clientResult = createOperatorsClient(args);
    if (clientResult.isErr()) return err(clientResult.error);
    const client = clientResult.value;
    const expected = await resolveExpectedVersion(
      client,
      args["expect-version"],
    );
    if (expected.isErr()) return err(expected.error);
    const accepted = await applyChange(client, {
      changeId: args["change-id"] ?? randomUUID(),
      operator: args.operator ?? process.env.USER ?? userInfo().username,
      expectedVersion: expected.value,
      document: document.value,
    }, output);
    if (accepted.isErr()) return err(accepted.error);
    const { version, changeId } = accepted.value;
    output.note(`accepted as version ${version}, change ${changeId}`);
    if (seconds === 0) {
      output.result({ record: accepted.value }, () => [`version ${version}`]);
      return ok(ExitCode.done);
    }
    const rollout = await trackRollout(client, version, seconds);
    return rollout.map((rollout) => {
      output.result({ record: accepted.value, rollout }, () => [
        `version ${version} is in force on ${
          formatCount(rollout.inForce.length, "instance")
        }`,
      ]);
      return reportMissing(rollout, output);
    });
  },
});

async function resolveExpectedVersion(
  client: HttpClient,
  given: string | undefined,
): Promise<Result<number, ICliFailure>> {
  if (given !== undefined) {
    return /^\d+$/.test(given)
      ? ok(Number(given))
      : usageError("--expect-version must be a whole number");
  }
  const response = await client.fetch(
    { path: "/configuration" },
    configurationResponseSchema,
  );
  return response.map(({ accepted }) => accepted?.version ?? 0);
}

async function trackRollout(
  client: HttpClient,
  version: number,
  seconds: number,
): Promise<Result<Rollout, ICliFailure>> {
  const progress = new Progress("instances");
  const rollout = await waitForRollout(client, version, {
    seconds,
    onChange: ({ inForce, missing }) =>
      progress.update(inForce.length, inForce.length + missing.length),
  });
  progress.finish();
  return rollout;
}

function reportMissing(rollout: Rollout, output: Output): ExitCode {
  for (const { id, reason } of rollout.missing) {
    output.note(`not in force on ${id}: ${reason}`);
  }
  for (const id of rollout.lost) {
    output.note(`${id} is lost; it receives the version when it reconnects`);
  }
  return isComplete(rollout) ? ExitCode.done : ExitCode.incomplete;
}
