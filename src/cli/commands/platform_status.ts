import { err, ok, type Result } from "neverthrow";
import {
  ENGINE_STATES_PATH,
  type EngineState,
  type EngineStates,
  engineStatesSchema,
} from "../../placement/mod.ts";
import { ExitCode, type ICliFailure } from "../exit_code.ts";
import type { HttpClient } from "../http_client.ts";
import { formatTable, type Output } from "../output.ts";

/** Shows the engines of the users' platform as each instance knows them. */
export async function showPlatformStatus(
  clients: readonly HttpClient[],
  output: Output,
): Promise<Result<ExitCode, ICliFailure>> {
  const answers = await Promise.all(
    clients.map((client) =>
      client.fetch({ path: ENGINE_STATES_PATH }, engineStatesSchema)
    ),
  );
  const instances: EngineStates[] = [];
  for (const answer of answers) {
    if (answer.isOk()) instances.push(answer.value);
    else output.note(answer.error.message);
  }
  if (instances.length === 0) {
    const message = "none of the instances has answered";
    return err({ exitCode: ExitCode.noAnswer, message });
  }
  output.result({ instances }, () => [
    ...instances.map(({ instance, listAgeMilliseconds }) =>
      `${instance}: list of engines read ${listAgeMilliseconds} ms ago`
    ),
    "",
    ...engineLines(instances),
  ]);
  const isComplete = instances.length === answers.length;
  return ok(isComplete ? ExitCode.done : ExitCode.incomplete);
}

/** One line for each engine, with what the instances say differently. */
function engineLines(instances: readonly EngineStates[]): string[] {
  const states = new Map<string, { instance: string; state: EngineState }[]>();
  for (const { instance, engines } of instances) {
    for (const state of engines) {
      const known = states.get(state.engine) ?? [];
      states.set(state.engine, [...known, { instance, state }]);
    }
  }
  return formatTable(
    ["ENGINE", "SERVICE", "FAILURE DOMAIN", "LEAVING", "LIMIT", "SUSPECT"],
    [...states.values()].map((known) => {
      const [first] = known as [typeof known[number]];
      const { engine, service, failureDomain } = first.state;
      return [
        engine,
        service,
        failureDomain,
        describe(known, leavingCell),
        describe(known, ({ limitPerSecond }) => limitPerSecond?.toString()),
        describe(known, ({ isSuspect }) => isSuspect ? "yes" : undefined),
      ];
    }),
  );
}

function leavingCell(
  { leaving, announcedMilliseconds }: EngineState,
): string | undefined {
  if (leaving === undefined || announcedMilliseconds === undefined) {
    return leaving;
  }
  return `${leaving}, ${Math.round(announcedMilliseconds / 1_000)} s ago`;
}

/** What instances say, each value with the instances that say it. */
function describe(
  known: readonly { instance: string; state: EngineState }[],
  valueOf: (state: EngineState) => string | undefined,
): string {
  const instances = new Map<string, string[]>();
  for (const { instance, state } of known) {
    const value = valueOf(state);
    if (value === undefined) continue;
    instances.set(value, [...instances.get(value) ?? [], instance]);
  }
  const parts = [...instances].map(([value, names]) =>
    names.length === known.length ? value : `${value} (${names.join(", ")})`
  );
  return parts.length === 0 ? "-" : parts.join("; ");
}
