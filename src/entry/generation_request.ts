import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type Deadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { IServiceGrant } from "../configuration/mod.ts";
import type { Generation } from "../targets/mod.ts";
import type { ICallerRequest } from "./types.ts";

/** Header with the milliseconds that the caller waits for the answer. */
const TIMEOUT_HEADER = "figroad-timeout-ms";

/** Header that marks a request as non-idempotent with the value `false`. */
const IDEMPOTENT_HEADER = "figroad-idempotent";

const bodySchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().nullish(),
  messages: z.array(z.looseObject({ role: z.string() })).min(1).optional(),
  prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
  max_tokens: z.int().positive().nullish(),
});

/** A live request, checked and with its deadline. */
export interface IGenerationRequest {
  readonly grant: IServiceGrant;
  readonly generation: Generation;
  readonly stream: boolean;
  readonly idempotent: boolean;
  /** The caller's key for this request, if it gave one. */
  readonly idempotencyKey: string | undefined;
  readonly deadline: Deadline;
}

/** Schema of the bodies that the generation endpoints take. */
export const generationBodySchema = bodySchema;

/** Checks a body against the caller's grants and reads its headers. */
export function openGeneration(
  request: ICallerRequest,
  body: z.infer<typeof bodySchema>,
  options: { clock: IClock },
): Result<IGenerationRequest, Failure> {
  const endpoint = request.url.pathname as Generation["endpoint"];
  const wanted = endpoint === "/v1/completions" ? "prompt" : "messages";
  if (body[wanted] === undefined) {
    return err(notRun("bad-request", `${wanted}: required`));
  }
  const { configuration, caller } = request;
  const grant = configuration.grantByModel(caller.name, body.model);
  if (!grant) {
    const reason = `model ${body.model} does not exist for this caller`;
    return err(notRun("not-found", reason));
  }
  const timeout = readTimeout(request, grant.rule.deadlineMilliseconds);
  if (timeout.isErr()) return err(timeout.error);
  const { stream, ...rest } = body;
  const key = request.message.headers["idempotency-key"];
  return ok({
    grant,
    generation: { model: body.model, endpoint, body: rest },
    stream: stream === true,
    idempotent: request.message.headers[IDEMPOTENT_HEADER] !== "false",
    idempotencyKey: typeof key === "string" ? key : undefined,
    deadline: options.clock.deadlineIn(timeout.value),
  });
}

function readTimeout(
  request: ICallerRequest,
  fallback: number,
): Result<number, Failure> {
  const header = request.message.headers[TIMEOUT_HEADER];
  if (header === undefined) return ok(fallback);
  const milliseconds = Number(header);
  if (Number.isFinite(milliseconds) && milliseconds > 0) {
    return ok(milliseconds);
  }
  const reason = `${TIMEOUT_HEADER}: a positive number of milliseconds`;
  return err(notRun("bad-request", reason));
}
