import process from "node:process";
import { err, ok, Result } from "neverthrow";
import { ExitCode, type ICliFailure } from "./exit_code.ts";
import { HttpClient } from "./http_client.ts";

/** Environment variable with the URL of an instance's operators' API. */
export const OPERATORS_VARIABLE = "FIGROAD_OPERATORS";

/** Environment variable with the URL of an instance's callers' API. */
export const CALLERS_VARIABLE = "FIGROAD_CALLERS";

/** Environment variable with the URLs of the stores' metrics. */
export const STORES_VARIABLE = "FIGROAD_STORES";

/** Environment variable with a caller's API key. */
export const API_KEY_VARIABLE = "FIGROAD_API_KEY";

/** Option for the URL to which operators' commands send requests. */
export const operatorsArgument = {
  operators: {
    type: "string",
    description: `Operators' URL of any instance (or ${OPERATORS_VARIABLE})`,
    valueHint: "URL",
  },
} as const;

/** Option of callers' commands. */
export const callersArgument = {
  callers: {
    type: "string",
    description: `Callers' URL of any instance (or ${CALLERS_VARIABLE}); ` +
      `the key is read from ${API_KEY_VARIABLE}`,
    valueHint: "URL",
  },
} as const;

/** Option for the URLs of the stores of the platform. */
export const storesArgument = {
  stores: {
    type: "string",
    description: "Metrics URLs of stores of the users' platform, separated " +
      `by commas (or ${STORES_VARIABLE}); status also takes those of entries`,
    valueHint: "URL,URL",
  },
} as const;

/** Creates a client for each store's metrics address. */
export function createStoresClients(
  args: { stores?: string },
): Result<HttpClient[], ICliFailure> {
  const urls = (args.stores ?? process.env[STORES_VARIABLE] ?? "")
    .split(",").map((url) => url.trim());
  return Result.combine(
    urls.map((url) =>
      resolveUrl("stores", url, STORES_VARIABLE)
        .map((url) => new HttpClient(url))
    ),
  );
}

/** Creates a client for the operators' API. */
export function createOperatorsClient(
  args: { operators?: string },
): Result<HttpClient, ICliFailure> {
  return resolveUrl("operators", args.operators, OPERATORS_VARIABLE)
    .map((url) => new HttpClient(url));
}

/** Creates a client for the callers' API with the caller's key. */
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
    return usageError(
      `${url} is not an HTTP URL such as http://127.0.0.1:8080`,
    );
  }
  return ok(url);
}

/** Creates the failure for an invalid command line. */
export function usageError<T>(message: string): Result<T, ICliFailure> {
  return err({ exitCode: ExitCode.usage, message });
}
