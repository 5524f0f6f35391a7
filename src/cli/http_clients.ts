import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import { ExitCode, type ICliFailure } from "./exit_code.ts";
import { HttpClient } from "./http_client.ts";

/** Environment variable with the URL of an operators' edge. */
export const OPERATORS_VARIABLE = "FIGROAD_OPERATORS";

/** Environment variable with the URL of a callers' edge. */
export const CALLERS_VARIABLE = "FIGROAD_CALLERS";

/** Environment variable with a caller's API key. */
export const API_KEY_VARIABLE = "FIGROAD_API_KEY";

/** Option for commands of operators. */
export const operatorsArgument = {
  operators: {
    type: "string",
    description: `Operators' URL of any instance (or ${OPERATORS_VARIABLE})`,
    valueHint: "URL",
  },
} as const;

/** Option for commands of callers. */
export const callersArgument = {
  callers: {
    type: "string",
    description: `Callers' URL of any instance (or ${CALLERS_VARIABLE}); ` +
      `the key is read from ${API_KEY_VARIABLE}`,
    valueHint: "URL",
  },
} as const;

/** Opens the operators' edge that the user named. */
export function createOperatorsClient(
  args: { operators?: string },
): Result<HttpClient, ICliFailure> {
  return resolveUrl("operators", args.operators, OPERATORS_VARIABLE)
    .map((url) => new HttpClient(url));
}

/** Opens the callers' edge that the user named, with the user's key. */
export function createCallersClient(
  args: { callers?: string },
): Result<HttpClient, ICliFailure> {
  const key = process.env[API_KEY_VARIABLE];
  if (!key) return usageError(`set ${API_KEY_VARIABLE} to a caller's API key`);
  return resolveUrl("callers", args.callers, CALLERS_VARIABLE).map((url) =>
    new HttpClient(url, { authorization: `Bearer ${key}` })
  );
}

function resolveUrl(
  option: string,
  given: string | undefined,
  variable: string,
): Result<string, ICliFailure> {
  const url = given ?? process.env[variable];
  if (!url) return usageError(`give --${option} URL or set ${variable}`);
  if (!URL.canParse(url) || new URL(url).protocol !== "http:") {
    return usageError(`${url} is no URL such as http://127.0.0.1:8080`);
  }
  return ok(url);
}

/** A failure of the command line itself. */
export function usageError<T>(message: string): Result<T, ICliFailure> {
  return err({ exitCode: ExitCode.usage, message });
}
