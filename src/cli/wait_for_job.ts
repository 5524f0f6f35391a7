import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import {
  type BatchObject,
  batchObjectSchema,
  isFinished,
} from "./batch_object.ts";
import { ExitCode, type ICliFailure } from "./exit_code.ts";
import type { HttpClient } from "./http_client.ts";
import { Progress } from "./progress.ts";

/** Interval between reads of a job. */
const POLL_INTERVAL_MILLISECONDS = 500;

/** Consecutive reads without an answer after which the command fails. */
const MAXIMUM_UNANSWERED_READS = 60;

export function readJob(
  client: HttpClient,
  id: string,
): ResultAsync<BatchObject, ICliFailure> {
  const path = `/v1/batches/${encodeURIComponent(id)}`;
  return client.fetch({ path }, batchObjectSchema);
}

/** Polls a job until it has finished and shows its progress. */
export async function waitForJob(
  client: HttpClient,
  id: string,
): Promise<Result<BatchObject, ICliFailure>> {
  const progress = new Progress("items");
  let unansweredReads = 0;
  for (;;) {
    const read = await readJob(client, id);
    if (read.isOk()) {
      const { total, completed, failed } = read.value.request_counts;
      progress.update(completed + failed, total);
      unansweredReads = 0;
      if (isFinished(read.value)) {
        progress.finish();
        return ok(read.value);
      }
    } else {
      unansweredReads += 1;
      if (
        !isTransient(read.error) || unansweredReads >= MAXIMUM_UNANSWERED_READS
      ) {
        progress.finish();
        return err(read.error);
      }
    }
    await sleep(POLL_INTERVAL_MILLISECONDS);
  }
}

/** Exit code for the current status of a job. */
export function jobExitCode(job: BatchObject): ExitCode {
  if (!isFinished(job)) return ExitCode.incomplete;
  const isSuccessful = job.status === "completed" &&
    job.request_counts.failed === 0;
  return isSuccessful ? ExitCode.done : ExitCode.failed;
}

function isTransient({ exitCode }: ICliFailure): boolean {
  return exitCode === ExitCode.noAnswer;
}
