import { configurationSchema } from "../../configuration/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { ExitCode } from "../exit_code.ts";
import { formatCount } from "../output.ts";
import { readDocument } from "../read_document.ts";

/** `figroad config check FILE`: validates a configuration offline. */
export const configCheck = defineCliCommand({
  name: "check",
  description: "Check a configuration without connecting to an instance",
  args: {
    file: {
      type: "positional",
      required: true,
      description: "JSON with comments",
    },
  },
  async run({ file }, output) {
    const document = await readDocument(file, configurationSchema);
    return document.map(({ services, engines, callers, rules }) => {
      const counts = {
        services: services.length,
        engines: engines.length,
        callers: callers.length,
        rules: rules.length,
      };
      output.result({ valid: true, ...counts }, () => [
        `${file} is valid: ${formatCount(counts.services, "service")}, ` +
        `${formatCount(counts.engines, "engine")}, ` +
        `${formatCount(counts.callers, "caller")}, ` +
        formatCount(counts.rules, "rule"),
      ]);
      return ExitCode.done;
    });
  },
});
