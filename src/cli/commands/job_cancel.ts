import { batchObjectSchema, jobLines } from "../batch_object.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { callersArgument, createCallersClient } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";

/** `figroad job cancel ID`: cancels a job. */
export const jobCancel = defineCliCommand({
  name: "cancel",
  description: "Cancel a batch job; results of finished items stay readable",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Identifier of the job",
    },
    ...callersArgument,
  },
  async run(args, output) {
    const path = `/v1/batches/${encodeURIComponent(args.id)}/cancel`;
    const cancelled = await createCallersClient(args).asyncAndThen((client) =>
      client.fetch({ method: "POST", path }, batchObjectSchema)
    );
    return cancelled.map((job) => {
      output.result(job, () => jobLines(job));
      return ExitCode.done;
    });
  },
});
