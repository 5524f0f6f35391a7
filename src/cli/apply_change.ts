import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type ApplyOutput,
  applyOutputSchema,
  type ChangeRecord,
} from "../configuration/mod.ts";
import type { ApplyRequest } from "../operators/mod.ts";
import { ExitCode, type ICliFailure } from "./exit_code.ts";
import { type HttpClient, parseBody, toFailure } from "./http_client.ts";
import { formatTime, type Output } from "./output.ts";

/** Attempts after which the outcome of a change is reported as unknown. */
const MAXIMUM_ATTEMPTS = 6;

/** Delay before a change is sent again. */
const RETRY_DELAY_MILLISECONDS = 1_000;

/**
 * Sends a change until an answer reports its outcome.
 *
 * Every attempt carries the same change id, so the change is applied at most
 * once, however many attempts arrive.
 */
export async function applyChange(
  client: HttpClient,
  change: ApplyRequest,
  output: Output,
): Promise<Result<ChangeRecord, ICliFailure>> {
  let lastFailure: ICliFailure | undefined;
  for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
    if (lastFailure) {
      output.note(
        `${lastFailure.message}; sending change ${change.changeId} again ` +
          `(${attempt} of ${MAXIMUM_ATTEMPTS})`,
      );
      await sleep(RETRY_DELAY_MILLISECONDS);
    }
    const sent = await sendChange(client, change);
    if (sent.isErr()) {
      lastFailure = sent.error;
      continue;
    }
    return sent.value;
  }
  return err(unknownOutcomeFailure(change, lastFailure));
}

/**
 * The outer result is an error if the outcome is unknown and a retry is needed;
 * the inner one is the outcome.
 */
async function sendChange(
  client: HttpClient,
  change: ApplyRequest,
): Promise<Result<Result<ChangeRecord, ICliFailure>, ICliFailure>> {
  const answer = await client.send({
    method: "POST",
    path: "/configuration",
    json: change,
  });
  return answer.andThen(({ status, body }) => {
    if (status >= 500) return err(toFailure(status, body));
    if (status >= 400 && status !== 409) {
      return ok(err(toFailure(status, body)));
    }
    return parseBody(body, applyOutputSchema, client.url)
      .map((applied) => toChangeResult(applied, change));
  });
}

function toChangeResult(
  applied: ApplyOutput,
  change: ApplyRequest,
): Result<ChangeRecord, ICliFailure> {
  if (applied.kind === "accepted") return ok(applied.record);
  const { record } = applied;
  const acceptedChange = record
    ? `change ${record.changeId} by ${record.operator} made version ` +
      `${record.version} at ${formatTime(record.acceptedAt)}`
    : "no configuration has been accepted yet";
  return err({
    exitCode: ExitCode.conflict,
    message: `not applied: version ${change.expectedVersion} was expected, ` +
      `but ${acceptedChange}; review it, then apply again`,
  });
}

function unknownOutcomeFailure(
  change: ApplyRequest,
  lastFailure: ICliFailure | undefined,
): ICliFailure {
  return {
    exitCode: ExitCode.noAnswer,
    message:
      `${lastFailure?.message}; whether the change was made is not known. ` +
      `Run the command again with --change-id ${change.changeId} ` +
      `--expect-version ${change.expectedVersion}`,
  };
}
