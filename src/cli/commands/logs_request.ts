import { readFile } from "node:fs/promises";
import { err, ok } from "neverthrow";
import {
  buildTimeline,
  type ILogLine,
  type ILogTimeline,
} from "../../explain/log_timeline.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTable, formatTime } from "../output.ts";

/** `figroad logs request ID FILE`: lists the events of a request in logs. */
export const logsRequest = defineCliCommand({
  name: "request",
  description:
    "List the events of a request, an item or a job in collected logs",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Identifier of the request, the item or the job",
    },
    file: {
      type: "positional",
      required: true,
      description: "File with the logs of one or more processes",
    },
  },
  async run(args, output) {
    let text: string;
    try {
      text = await readFile(args.file, "utf8");
    } catch (error) {
      const { message } = error as Error;
      return err({ exitCode: ExitCode.failed, message });
    }
    const timeline = buildTimeline(args.id, text);
    if (timeline.lines.length === 0) {
      const message = `${args.file} contains no event of ${args.id}`;
      return err({ exitCode: ExitCode.notFound, message });
    }
    output.result(timeline, () => timelineLines(timeline));
    return ok(ExitCode.done);
  },
});

function timelineLines(timeline: ILogTimeline): string[] {
  return [...clockLines(timeline), ...tableLines(timeline.lines)];
}

/** States which clock the times refer to, and which times were shifted. */
function clockLines({ clockOf, lines, uncompared }: ILogTimeline): string[] {
  if (clockOf === undefined) {
    return ["times by the clock of each instance; no clocks were compared"];
  }
  const shifts = new Map(
    lines.map((line) => [line.instance, line.shiftMilliseconds]),
  );
  const shifted = [...shifts]
    .filter(([, shift]) => shift !== 0)
    .map(([instance, shift]) => `${instance} by ${shift} ms`);
  return [
    `times by the clock of ${clockOf}`,
    ...shifted.length > 0 ? [`shifted: ${shifted.join(", ")}`] : [],
    ...uncompared.length > 0 ? [`not compared: ${uncompared.join(", ")}`] : [],
  ];
}

function tableLines(lines: readonly ILogLine[]): string[] {
  const rows = lines.map(({ at, instance, name, engine, isOwn, fields }) => [
    formatTime(at),
    instance,
    `${isOwn ? "" : "("}${name}${isOwn ? "" : ")"}`,
    engine ?? "",
    formatFields(fields),
  ]);
  return formatTable(["TIME", "INSTANCE", "EVENT", "ENGINE", "FIELDS"], rows);
}

/** Formats the fields in one cell, without those that every row has. */
function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([key]) => !["event", "level", "request", "job"].includes(key))
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(" ");
}
