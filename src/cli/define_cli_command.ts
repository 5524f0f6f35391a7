import process from "node:process";
import {
  type ArgsDef,
  type CommandDef,
  defineCommand,
  type ParsedArgs,
} from "citty";
import { err, type Result } from "neverthrow";
import { ExitCode, type ICliFailure } from "./exit_code.ts";
import { Output } from "./output.ts";

/** Option of every command. */
const jsonArgument = {
  json: { type: "boolean", description: "Print the result as JSON" },
} as const;

/** A command of `figroad`. */
export interface ICliCommand<T extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  readonly args: T;
  /** Resolves with the exit code, or with a failure to print. */
  run(
    args: ParsedArgs<T>,
    output: Output,
  ): Promise<Result<ExitCode, ICliFailure>>;
}

/** Defines a command that reports failures without a stack trace. */
export function defineCliCommand<const T extends ArgsDef>(
  command: ICliCommand<T>,
): CommandDef {
  const { name, description, run } = command;
  const args: ArgsDef = { ...command.args, ...jsonArgument };
  return defineCommand({
    meta: { name, description },
    args,
    async run(context) {
      const output = new Output({ json: context.args.json === true });
      const unknown = findUnknownArgument(context.args, args);
      const outcome = unknown === undefined
        ? await run(context.args as ParsedArgs<T>, output)
        : err({ exitCode: ExitCode.usage, message: unknown });
      outcome.match(
        (exitCode) => process.exitCode = exitCode,
        ({ exitCode, message }) => {
          process.stderr.write(`figroad: ${message}\n`);
          process.exitCode = exitCode;
        },
      );
    },
  });
}

/** Describes the first argument that the command does not accept. */
function findUnknownArgument(
  given: Record<string, unknown>,
  args: ArgsDef,
): string | undefined {
  const known = new Set(Object.keys(args).flatMap(spellings));
  const option = Object.keys(given).find((name) =>
    name !== "_" && !known.has(name)
  );
  if (option !== undefined) return `unknown option --${option}; see --help`;
  const positionals = Object.values(args)
    .filter(({ type }) => type === "positional").length;
  const extra = (given._ as string[])[positionals];
  return extra === undefined
    ? undefined
    : `unexpected argument ${extra}; see --help`;
}

/** An option's name as written and in camel case; citty stores both. */
function spellings(name: string): string[] {
  const camelCase = name.replace(
    /-(.)/g,
    (_, letter: string) => letter.toUpperCase(),
  );
  return [name, camelCase];
}
