import { z } from "zod";
import { acceptedConfigurationSchema } from "../../configuration/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { createOperatorsClient, operatorsArgument } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTime } from "../output.ts";

/** Body of the answer to `GET /configuration`. */
export const configurationResponseSchema = z.object({
  accepted: acceptedConfigurationSchema.nullable(),
});

/** `figroad config show`: prints the newest accepted configuration. */
export const configShow = defineCliCommand({
  name: "show",
  description: "Show the newest accepted configuration",
  args: operatorsArgument,
  async run(args, output) {
    const clientResult = createOperatorsClient(args);
    const response = await clientResult.asyncAndThen((client) =>
      client.fetch({ path: "/configuration" }, configurationResponseSchema)
    );
    return response.map(({ accepted }) => {
      if (!accepted) {
        output.note("no configuration has been accepted yet");
        return ExitCode.notFound;
      }
      const { version, operator, changeId, acceptedAt, document } = accepted;
      output.result(accepted, () => [
        `// version ${version} by ${operator} at ${formatTime(acceptedAt)}, ` +
        `change ${changeId}`,
        JSON.stringify(document, undefined, 2),
      ]);
      return ExitCode.done;
    });
  },
});
