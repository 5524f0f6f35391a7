import { randomUUID } from "node:crypto";
import { openAsBlob } from "node:fs";
import { basename } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import { z } from "zod";
import {
  type BatchObject,
  batchObjectSchema,
  jobLines,
} from "../batch_object.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import {
  callersArgument,
  createCallersClient,
  usageError,
} from "../http_clients.ts";
import { ExitCode, type ICliFailure } from "../exit_code.ts";
import type { HttpClient } from "../http_client.ts";
import type { Output } from "../output.ts";
import { Progress } from "../progress.ts";
import { createUploadBody } from "../upload_body.ts";
import { jobExitCode, waitForJob } from "../wait_for_job.ts";

/** Attempts after which the outcome of a request is reported as unknown. */
const MAXIMUM_ATTEMPTS = 4;

/** Delay before a request is sent again. */
const RETRY_DELAY_MILLISECONDS = 1_000;

const fileObjectSchema = z.looseObject({ id: z.string() });

/** Options of a job, apart from its input file. */
interface IJobSubmission {
  readonly key: string;
  readonly endpoint: string;
  readonly window: string;
  readonly model: string | undefined;
  readonly idempotent: boolean;
}

/** `figroad job submit FILE`: uploads a file and submits a job with it. */
export const jobSubmit = defineCliCommand({
  name: "submit",
  description: "Upload JSON lines and submit them as a batch job",
  args: {
    file: {
      type: "positional",
      required: true,
      description: "Input file, JSON lines",
    },
    ...callersArgument,
    key: {
      type: "string",
      description: "Idempotency key; submitting again with the same key " +
        "creates no second job",
    },
    endpoint: {
      type: "string",
      default: "/v1/chat/completions",
      description: "Endpoint that the items are sent to",
    },
    window: {
      type: "string",
      default: "24h",
      description: "Hours until the job's deadline",
    },
    model: {
      type: "string",
      description: "Model, if the caller may use several",
    },
    "non-idempotent": {
      type: "boolean",
      description: "Do not retry an item whose outcome is unknown",
    },
    wait: { type: "boolean", description: "Wait until the job has finished" },
  },
  async run(args, output) {
    const clientResult = createCallersClient(args);
    if (clientResult.isErr()) return err(clientResult.error);
    const client = clientResult.value;
    const file = await upload(client, args.file, output);
    if (file.isErr()) return err(file.error);
    const submitted = await submit(client, file.value, {
      key: args.key ?? randomUUID(),
      endpoint: args.endpoint,
      window: args.window,
      model: args.model,
      idempotent: args["non-idempotent"] !== true,
    }, output);
    if (submitted.isErr()) return err(submitted.error);
    output.note(`accepted as ${submitted.value.id}`);
    const job = args.wait
      ? await waitForJob(client, submitted.value.id)
      : submitted;
    return job.map((job) => {
      output.result(job, () => jobLines(job));
      return args.wait ? jobExitCode(job) : ExitCode.done;
    });
  },
});

async function upload(
  client: HttpClient,
  path: string,
  output: Output,
): Promise<Result<string, ICliFailure>> {
  let blob: Blob;
  try {
    blob = await openAsBlob(path);
  } catch {
    return usageError(`${path} cannot be read`);
  }
  output.note(`uploading ${path}, ${blob.size} bytes`);
  const sent = await sendWithRetries(output, () => {
    const progress = new Progress("bytes sent");
    const body = createUploadBody(blob, basename(path), progress);
    const message = { method: "POST", path: "/v1/files", body } as const;
    return client.fetch(message, fileObjectSchema)
      .andTee(() => progress.finish());
  });
  return sent.map(({ id }) => id);
}

async function submit(
  client: HttpClient,
  fileId: string,
  submission: IJobSubmission,
  output: Output,
): Promise<Result<BatchObject, ICliFailure>> {
  const { key, endpoint, window, model, idempotent } = submission;
  const sent = await sendWithRetries(output, () =>
    client.fetch({
      method: "POST",
      path: "/v1/batches",
      headers: {
        "idempotency-key": key,
        "figroad-idempotent": String(idempotent),
      },
      json: {
        input_file_id: fileId,
        endpoint,
        completion_window: window,
        model,
      },
    }, batchObjectSchema));
  return sent.mapErr((failure) => {
    if (failure.exitCode !== ExitCode.noAnswer) return failure;
    const advice = `run the command again with --key ${key}`;
    return { ...failure, message: `${failure.message}; ${advice}` };
  });
}

/** Retries a request that is safe to repeat while no answer arrives. */
async function sendWithRetries<T>(
  output: Output,
  send: () => ResultAsync<T, ICliFailure>,
): Promise<Result<T, ICliFailure>> {
  let sent = await send();
  for (let attempt = 2; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
    if (sent.isOk()) return ok(sent.value);
    if (sent.error.exitCode !== ExitCode.noAnswer) return sent;
    output.note(
      `${sent.error.message}; sending again (${attempt} of ` +
        `${MAXIMUM_ATTEMPTS})`,
    );
    await sleep(RETRY_DELAY_MILLISECONDS);
    sent = await send();
  }
  return sent;
}
