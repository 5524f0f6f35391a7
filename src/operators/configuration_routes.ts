import { type IClock, notRun } from "../common/mod.ts";
import {
  applyConfigurationMethod,
  configurationHistoryMethod,
  fetchConfigurationMethod,
  rolloutMethod,
} from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { readJsonBody } from "../entry/read_body.ts";
import { sendFailure, sendJson } from "../entry/respond.ts";
import { applyRequestSchema } from "./messages.ts";
import type { IOperatorRequest, IOperatorRoute } from "./types.ts";

/** Timeout of an operation on the configuration, in milliseconds. */
const CONFIGURATION_TIMEOUT_MILLISECONDS = 10_000;

/** Number of changes in a response without the parameter `limit`. */
const DEFAULT_HISTORY_LIMIT = 20;

/** Maximum number of changes in one response. */
const MAXIMUM_HISTORY_LIMIT = 1_000;

/** Routes that show and change the configuration. */
export function configurationRoutes(
  control: IControlClient,
  clock: IClock,
): IOperatorRoute[] {
  const options = () => ({
    deadline: clock.deadlineIn(CONFIGURATION_TIMEOUT_MILLISECONDS),
  });
  const show = async ({ response }: IOperatorRequest) => {
    const answer = await control.call(fetchConfigurationMethod, {}, options());
    answer.match(
      ({ accepted }) => sendJson(response, 200, { accepted: accepted ?? null }),
      (failure) => sendFailure(response, failure),
    );
  };
  const history = async ({ url, response }: IOperatorRequest) => {
    const requestedLimit = Number(url.searchParams.get("limit"));
    const limit = Math.min(
      MAXIMUM_HISTORY_LIMIT,
      requestedLimit || DEFAULT_HISTORY_LIMIT,
    );
    const answer = await control.call(
      configurationHistoryMethod,
      { limit },
      options(),
    );
    answer.match(
      (records) => sendJson(response, 200, records),
      (failure) => sendFailure(response, failure),
    );
  };
  const apply = async ({ message, response }: IOperatorRequest) => {
    const body = await readJsonBody(message, applyRequestSchema);
    if (body.isErr()) return sendFailure(response, body.error);
    const command = { kind: "apply" as const, ...body.value };
    const answer = await control.call(
      applyConfigurationMethod,
      command,
      options(),
    );
    answer.match(
      (output) =>
        sendJson(response, output.kind === "accepted" ? 200 : 409, output),
      (failure) => sendFailure(response, failure),
    );
  };
  const rollout = async ({ url, response }: IOperatorRequest) => {
    const version = Number(url.searchParams.get("version"));
    if (!Number.isSafeInteger(version) || version < 1) {
      const reason = "version: must be a positive integer";
      return sendFailure(response, notRun("bad-request", reason));
    }
    const answer = await control.call(rolloutMethod, { version }, options());
    answer.match(
      (found) => sendJson(response, 200, found),
      (failure) => sendFailure(response, failure),
    );
  };
  return [
    { method: "GET", path: /^\/configuration$/, handle: show },
    { method: "GET", path: /^\/configuration\/history$/, handle: history },
    { method: "GET", path: /^\/configuration\/rollout$/, handle: rollout },
    { method: "POST", path: /^\/configuration$/, handle: apply },
  ];
}
