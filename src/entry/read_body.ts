import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type Failure, notRun } from "../common/mod.ts";

/** Longest JSON body of a request, in bytes. */
export const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Reads a request body up to a limit. */
export async function readRequestBody(
  message: IncomingMessage,
  maximumBytes = MAXIMUM_BODY_BYTES,
): Promise<Result<Buffer, Failure>> {
  const parts: Buffer[] = [];
  let length = 0;
  for await (const part of message) {
    length += (part as Buffer).length;
    if (length > maximumBytes) {
      const reason = `the body is longer than ${maximumBytes} bytes`;
      return err(notRun("too-large", reason));
    }
    parts.push(part as Buffer);
  }
  return ok(Buffer.concat(parts));
}

/** Reads a JSON body and checks it. */
export async function readJsonBody<S extends z.ZodType>(
  message: IncomingMessage,
  schema: S,
): Promise<Result<z.infer<S>, Failure>> {
  const body = await readRequestBody(message);
  if (body.isErr()) return err(body.error);
  let value: unknown;
  try {
    value = JSON.parse(body.value.toString("utf8"));
  } catch (error) {
    return err(notRun("bad-request", `the body is no JSON: ${error}`));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const field = issue?.path.join(".") || "(body)";
  return err(notRun("bad-request", `${field}: ${issue?.message}`));
}
