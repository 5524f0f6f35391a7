import { configurationHistoryMethod } from "../../configuration/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { createOperatorsClient, operatorsArgument } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTable, formatTime } from "../output.ts";

/** `figroad config history`: lists accepted changes, newest first. */
export const configHistory = defineCliCommand({
  name: "history",
  description: "List accepted changes, newest first",
  args: {
    ...operatorsArgument,
    limit: { type: "string", default: "20", description: "Number of changes" },
  },
  async run(args, output) {
    const path = `/configuration/history?limit=${Number(args.limit) || 20}`;
    const history = await createOperatorsClient(args).asyncAndThen((client) =>
      client.fetch({ path }, configurationHistoryMethod.result)
    );
    return history.map(({ records }) => {
      output.result(records, () =>
        formatTable(
          ["VERSION", "ACCEPTED", "OPERATOR", "CHANGE"],
          records.map((record) => [
            String(record.version),
            formatTime(record.acceptedAt),
            record.operator,
            record.changeId,
          ]),
        ));
      return ExitCode.done;
    });
  },
});
