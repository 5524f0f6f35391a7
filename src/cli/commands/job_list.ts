import { batchListSchema } from "../batch_object.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { callersArgument, createCallersClient } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTable, formatTime } from "../output.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** `figroad job list`: lists the caller's jobs, newest first. */
export const jobList = defineCliCommand({
  name: "list",
  description: "List the caller's batch jobs, newest first",
  args: {
    ...callersArgument,
    limit: { type: "string", default: "20", description: "Number of jobs" },
    after: { type: "string", description: "Last job of the previous page" },
  },
  async run(args, output) {
    const query = new URLSearchParams({ limit: args.limit });
    if (args.after) query.set("after", args.after);
    const page = await createCallersClient(args).asyncAndThen((client) =>
      client.fetch({ path: `/v1/batches?${query}` }, batchListSchema)
    );
    return page.map(({ data, has_more }) => {
      output.result({ jobs: data, more: has_more }, () =>
        formatTable(
          ["JOB", "STATUS", "ITEMS", "DONE", "FAILED", "SUBMITTED"],
          data.map(({ id, status, request_counts, created_at }) => [
            id,
            status,
            String(request_counts.total),
            String(request_counts.completed),
            String(request_counts.failed),
            formatTime(created_at * MILLISECONDS_PER_SECOND),
          ]),
        ));
      const last = data.at(-1);
      if (has_more && last) output.note(`more jobs with --after ${last.id}`);
      return ExitCode.done;
    });
  },
});
