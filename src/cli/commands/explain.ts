import { type Explanation, explanationSchema } from "../../explain/mod.ts";
import { defineCliCommand } from "../define_cli_command.ts";
import { createOperatorsClient, operatorsArgument } from "../http_clients.ts";
import { ExitCode } from "../exit_code.ts";
import { formatCount, formatTable, formatTime } from "../output.ts";

/** `figroad explain ID`: shows how a request or item was handled, and why. */
export const explain = defineCliCommand({
  name: "explain",
  description: "Show how a request or a batch item was handled, and why",
  args: {
    id: {
      type: "positional",
      required: true,
      description: "x-request-id of a request, or JOB/INDEX of an item",
    },
    ...operatorsArgument,
  },
  async run(args, output) {
    const path = `/explain?id=${encodeURIComponent(args.id)}`;
    const explained = await createOperatorsClient(args).asyncAndThen((client) =>
      client.fetch({ path }, explanationSchema)
    );
    return explained.map((explanation) => {
      output.result(explanation, () => explanationLines(explanation));
      for (const { id, reason } of explanation.unanswered) {
        output.note(`no answer from ${id}: ${reason}`);
      }
      if (explanation.steps.length > 0) return ExitCode.done;
      const complete = explanation.unanswered.length === 0;
      return complete ? ExitCode.notFound : ExitCode.incomplete;
    });
  },
});

/** Formats the steps of a request or item for people. */
export function explanationLines(explanation: Explanation): string[] {
  const { subject, steps, droppedSteps, keptSince, answered } = explanation;
  if (steps.length === 0) {
    return [
      `${formatCount(answered.length, "instance")} asked, none knows of ` +
      `${subject}; ` +
      `their traces reach back to ${formatTime(keptSince)}`,
    ];
  }
  const rows = steps.map(({ at, instance, step, target, reason }) => [
    formatTime(at),
    instance,
    step,
    target ?? "",
    reason ?? "",
  ]);
  const dropped = droppedSteps > 0
    ? [`${droppedSteps} earlier steps were dropped to make room for later ones`]
    : [];
  return [
    ...formatTable(["TIME", "INSTANCE", "STEP", "TARGET", "REASON"], rows),
    ...dropped,
  ];
}
