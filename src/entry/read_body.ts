import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type Failure, notRun } from "../common/mod.ts";

/** Maximum size of a request body, in bytes. */
export const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Timeout for receiving a whole body, in milliseconds. */
const BODY_TIMEOUT_MILLISECONDS = 30_000;

/** Limits for reading a body. */
export interface IReadBodyOptions {
  readonly maximumBytes?: number;
  readonly timeoutMilliseconds?: number;
}

/**
 * Reads a request body with limits on its size and time.
 *
 * The rest of a refused body is read and discarded, so that the caller can
 * finish writing and receives the response.
 */
export async function readRequestBody(
  message: IncomingMessage,
  options: IReadBodyOptions = {},
): Promise<Result<Buffer, Failure>> {
  const maximumBytes = options.maximumBytes ?? MAXIMUM_BODY_BYTES;
  if (Number(message.headers["content-length"] ?? 0) > maximumBytes) {
    message.resume();
    return err(tooLargeFailure(maximumBytes));
  }
  const body = await collectBody(message, {
    maximumBytes,
    timeoutMilliseconds: options.timeoutMilliseconds ??
      BODY_TIMEOUT_MILLISECONDS,
  });
  if (body.isErr()) message.resume();
  return body;
}

function collectBody(
  message: IncomingMessage,
  options: Required<IReadBodyOptions>,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    const finish = (result: Result<Buffer, Failure>) => {
      clearTimeout(timer);
      message.off("data", onData);
      message.off("end", onEnd);
      message.off("close", onClose);
      resolve(result);
    };
    const onData = (part: Buffer) => {
      length += part.length;
      parts.push(part);
      if (length <= options.maximumBytes) return;
      finish(err(tooLargeFailure(options.maximumBytes)));
    };
    const onEnd = () => finish(ok(Buffer.concat(parts)));
    const onClose = () =>
      finish(err(notRun("cancelled", "caller closed the connection")));
    const timer = setTimeout(
      () => finish(err(notRun("bad-request", "timed out receiving the body"))),
      options.timeoutMilliseconds,
    );
    message.on("error", () => {});
    message.on("data", onData);
    message.on("end", onEnd);
    message.on("close", onClose);
  });
}

function tooLargeFailure(maximumBytes: number): Failure {
  return notRun("too-large", `body is larger than ${maximumBytes} bytes`);
}

/** Reads a JSON body and validates it against a schema. */
export async function readJsonBody<S extends z.ZodType>(
  message: IncomingMessage,
  schema: S,
): Promise<Result<z.infer<S>, Failure>> {
  const body = await readRequestBody(message);
  return body.andThen((bytes) => parseJsonBody(bytes, schema));
}

/** Parses a JSON body and validates it against a schema. */
export function parseJsonBody<S extends z.ZodType>(
  body: Buffer,
  schema: S,
): Result<z.infer<S>, Failure> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (error) {
    return err(notRun("bad-request", `body is not valid JSON: ${error}`));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const field = issue?.path.join(".") || "(body)";
  return err(notRun("bad-request", `${field}: ${issue?.message}`));
}
