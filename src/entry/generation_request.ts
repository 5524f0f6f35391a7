import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import { z } from "zod";
import {
  type Deadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { IServiceGrant } from "../configuration/mod.ts";
import type { Generation } from "../targets/mod.ts";
import {
  IDEMPOTENCY_KEY_HEADER,
  MAXIMUM_OPERATION_MILLISECONDS,
} from "./operation_session.ts";
import type { ICallerRequest } from "./types.ts";

/** Header with the caller's timeout for the response, in milliseconds. */
const TIMEOUT_HEADER = "figroad-timeout-ms";

/**
 * Header that marks a request as non-idempotent with the value `false`. Without
 * it, a request with an idempotency key runs at most once, and any other
 * request may run more than once.
 */
const IDEMPOTENT_HEADER = "figroad-idempotent";

/** Maximum timeout that a caller may set, in milliseconds. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 86_400_000;

const bodySchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().nullish(),
  messages: z.array(z.looseObject({ role: z.string() })).min(1).optional(),
  prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
  n: z.literal(1, "only one choice is supported").nullish(),
  best_of: z.literal(1, "only one choice is supported").nullish(),
  echo: z.literal(false, "not supported").nullish(),
  suffix: z.null("not supported").optional(),
  logprobs: z.literal(false, "not supported").nullish(),
  tools: z.array(z.unknown()).max(0, "not supported").nullish(),
});

/** A validated live request with its deadline. */
export interface IGenerationRequest {
  readonly grant: IServiceGrant;
  readonly generation: Generation;
  readonly stream: boolean;
  readonly idempotent: boolean;
  readonly deadline: Deadline;
  /** Maximum tokens of the response, if the caller set a limit. */
  readonly maximumTokens: number | undefined;
}

/** Schema of the request bodies of the generation endpoints. */
export const generationBodySchema = bodySchema;

/** Validates a request against the caller's grants and reads its headers. */
export function parseGenerationRequest(
  request: ICallerRequest,
  body: z.infer<typeof bodySchema>,
  options: { clock: IClock },
): Result<IGenerationRequest, Failure> {
  const endpoint = request.url.pathname as Generation["endpoint"];
  const inputField = endpoint === "/v1/completions" ? "prompt" : "messages";
  if (body[inputField] === undefined) {
    return err(notRun("bad-request", `${inputField}: required`));
  }
  if (Array.isArray(body.prompt) && typeof body.prompt[0] === "string") {
    return err(notRun("bad-request", "prompt: only one prompt is supported"));
  }
  const { configuration, caller } = request;
  const grant = configuration.grantByModel(caller.name, body.model);
  if (!grant) {
    const reason = `model ${body.model} is not available to this caller`;
    return err(notRun("not-found", reason));
  }
  const timeout = readTimeout(request, grant.rule.deadlineMilliseconds);
  if (timeout.isErr()) return err(timeout.error);
  const idempotentResult = readIdempotent(request);
  if (idempotentResult.isErr()) return err(idempotentResult.error);
  const idempotent = idempotentResult.value;
  const { stream, ...rest } = body;
  const maximumMilliseconds = idempotent
    ? Infinity
    : MAXIMUM_OPERATION_MILLISECONDS;
  return ok({
    grant,
    generation: { model: body.model, endpoint, body: rest },
    stream: stream === true,
    idempotent,
    deadline: options.clock.deadlineIn(
      Math.min(timeout.value, maximumMilliseconds),
    ),
    maximumTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
  });
}

function readTimeout(
  request: ICallerRequest,
  defaultMilliseconds: number,
): Result<number, Failure> {
  const header = request.message.headers[TIMEOUT_HEADER];
  if (header === undefined) return ok(defaultMilliseconds);
  const milliseconds = Number(header);
  if (milliseconds > 0 && milliseconds <= MAXIMUM_TIMEOUT_MILLISECONDS) {
    return ok(milliseconds);
  }
  const reason =
    `${TIMEOUT_HEADER}: must be between 1 and ${MAXIMUM_TIMEOUT_MILLISECONDS}`;
  return err(notRun("bad-request", reason));
}

/** Whether a request may run more than once. */
function readIdempotent(request: ICallerRequest): Result<boolean, Failure> {
  const { headers } = request.message;
  const hasKey = headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
  return match(headers[IDEMPOTENT_HEADER])
    .with(undefined, () => ok(!hasKey))
    .with("false", () => ok(false))
    .with("true", () => {
      if (!hasKey) return ok(true);
      const reason = `${IDEMPOTENT_HEADER}: true cannot be combined with ` +
        `${IDEMPOTENCY_KEY_HEADER}, which excludes repeated runs`;
      return err(notRun("bad-request", reason));
    })
    .otherwise(() =>
      err(notRun("bad-request", `${IDEMPOTENT_HEADER}: must be true or false`))
    );
}
