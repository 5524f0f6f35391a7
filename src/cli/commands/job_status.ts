import { err } from "neverthrow";
import { jobLines } from "../batch_object.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { callersArgument, createCallersClient } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { jobExitCode, readJob, waitForJob } from "../wait_for_job.ts";

/** `figroad job status ID`: shows the status of a job. */
export const jobStatus = defineCliCommand({
  name: "status",
  description: "Show the status of a batch job",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Identifier of the job",
    },
    ...callersArgument,
    wait: { type: "boolean", description: "Wait until the job has finished" },
  },
  async run(args, output) {
    const clientResult = createCallersClient(args);
    if (clientResult.isErr()) return err(clientResult.error);
    const read = args.wait ? waitForJob : readJob;
    const job = await read(clientResult.value, args.id);
    return job.map((job) => {
      output.result(job, () => jobLines(job));
      return args.wait ? jobExitCode(job) : ExitCode.done;
    });
  },
});
