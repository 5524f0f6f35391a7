import { createWriteStream } from "node:fs";
import type { IncomingMessage } from "node:http";
import process from "node:process";
import { pipeline } from "node:stream/promises";
import { err, ok, type Result } from "neverthrow";
import { defineCliCommand } from "../define_cli_command.ts";
import { callersArgument, createCallersClient } from "../http_clients.ts";
import { ExitCode, type ICliFailure } from "../exit_code.ts";
import { readText, toFailure } from "../http_client.ts";
import { readJob } from "../wait_for_job.ts";

/** `figroad job results ID`: prints the result lines of a job. */
export const jobResults = defineCliCommand({
  name: "results",
  description: "Print the result lines of a batch job",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Identifier of the job",
    },
    ...callersArgument,
    errors: {
      type: "boolean",
      description: "Print the items that did not succeed instead",
    },
    output: {
      type: "string",
      description: "File to write to instead of standard output",
    },
  },
  async run(args, output) {
    const clientResult = createCallersClient(args);
    if (clientResult.isErr()) return err(clientResult.error);
    const job = await readJob(clientResult.value, args.id);
    if (job.isErr()) return err(job.error);
    const { output_file_id, error_file_id, status } = job.value;
    const fileId = args.errors ? error_file_id : output_file_id;
    if (!fileId) {
      const kind = args.errors ? "failed items" : "results";
      const message = `${args.id} has no ${kind}; its status is ${status}`;
      return err({ exitCode: ExitCode.notFound, message });
    }
    const path = `/v1/files/${encodeURIComponent(fileId)}/content`;
    const content = await clientResult.value.open({ path });
    if (content.isErr()) return err(content.error);
    const written = await writeResults(content.value, args.output);
    if (written.isOk() && args.output) output.note(`wrote ${args.output}`);
    return written;
  },
});

/** Writes the content of an answer; fails if it is incomplete. */
async function writeResults(
  content: IncomingMessage,
  path: string | undefined,
): Promise<Result<ExitCode, ICliFailure>> {
  const status = content.statusCode ?? 0;
  if (status >= 400) return err(await readFailure(content, status));
  try {
    if (path === undefined) {
      await pipeline(content, process.stdout, { end: false });
    } else {
      await pipeline(content, createWriteStream(path));
    }
    return ok(ExitCode.done);
  } catch (error) {
    const message =
      `reading the results failed (${error}); run the command again`;
    return err({ exitCode: ExitCode.noAnswer, message });
  }
}

async function readFailure(
  content: IncomingMessage,
  status: number,
): Promise<ICliFailure> {
  const text = await readText(content).catch(() => "");
  try {
    return toFailure(status, JSON.parse(text));
  } catch {
    return toFailure(status, undefined);
  }
}
