import { settingsSchema } from "../../settings/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { ExitCode } from "../exit_code.ts";
import { readDocument } from "../read_document.ts";

/** `figroad settings check FILE`: validates the settings of a daemon. */
export const settingsCheck = defineCliCommand({
  name: "check",
  description: "Check the settings file of a daemon",
  args: {
    file: {
      type: "positional",
      required: true,
      description: "JSON with comments",
    },
  },
  async run({ file }, output) {
    const settings = await readDocument(file, settingsSchema);
    return settings.map(({ instance, control }) => {
      const duties = control ? ["entry", "control voter"] : ["entry"];
      output.result({ valid: true, instance, duties }, () => [
        `${file} is valid: ${instance.id} in ${instance.region}, ` +
        `${instance.failureDomain}; duties: ${duties.join(", ")}`,
      ]);
      return ExitCode.done;
    });
  },
});
