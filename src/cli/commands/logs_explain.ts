import { err, ok } from "neverthrow";
import { loadCatalogue } from "../../events/catalogue.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { ExitCode } from "../exit_code.ts";

/** `figroad logs explain NUMBER`: explains an event. */
export const logsExplain = defineCliCommand({
  name: "explain",
  description: "Explain what an event means and how to respond to it",
  args: {
    event: {
      type: "positional",
      required: true,
      description: "Number or name of the event",
    },
  },
  async run(args, output) {
    const entry = (await loadCatalogue()).find(({ event }) =>
      String(event.number) === args.event || event.name === args.event
    );
    if (!entry) {
      const message = `no event has the number or name ${args.event}`;
      return err({ exitCode: ExitCode.notFound, message });
    }
    const { number, name, level, help } = entry.event;
    const fields = Object.keys(entry.event.fields.shape);
    output.result(
      { number, name, level, slice: entry.slice, fields, help },
      () => [
        `${number} ${name} (${level}, ${entry.slice})`,
        `fields: ${fields.join(", ") || "none"}`,
        help,
      ],
    );
    return ok(ExitCode.done);
  },
});
