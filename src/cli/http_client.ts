import { type IncomingMessage, request } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import { ExitCode, type ICliFailure } from "./exit_code.ts";

/** Time without any data after which a request fails. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Error body of the callers' and the operators' API. */
const errorBodySchema = z.object({
  error: z.object({
    message: z.string(),
    code: z.string().nullish(),
    verdict: z.string().nullish(),
  }),
});

/** A request to figroad. */
export interface ICliRequest {
  readonly method?: "GET" | "POST";
  readonly path: string;
  /** Sent as JSON. */
  readonly json?: unknown;
  /** Sent unchanged, for example an upload. */
  readonly body?: Response;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer with its JSON body. */
export interface ICliAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Client of figroad's callers' or operators' API. */
export class HttpClient {
  readonly url: string;
  #headers: Readonly<Record<string, string>>;

  constructor(url: string, headers: Readonly<Record<string, string>> = {}) {
    this.url = url.replace(/\/$/, "");
    this.#headers = headers;
  }

  /** Sends a request; fails if no complete answer arrived. */
  async send(message: ICliRequest): Promise<Result<ICliAnswer, ICliFailure>> {
    const opened = await this.open(message);
    if (opened.isErr()) return err(opened.error);
    try {
      const text = await readText(opened.value);
      const status = opened.value.statusCode ?? 0;
      return ok({ status, body: text === "" ? undefined : JSON.parse(text) });
    } catch (error) {
      return err(this.#noAnswerFailure(error));
    }
  }

  /** Sends a request and validates the body of a successful answer. */
  fetch<S extends z.ZodType>(
    message: ICliRequest,
    schema: S,
  ): ResultAsync<z.infer<S>, ICliFailure> {
    const answer = new ResultAsync(this.send(message));
    return answer.andThen(
      ({ status, body }): Result<z.infer<S>, ICliFailure> => {
        if (status >= 400) return err(toFailure(status, body));
        return parseBody(body, schema, this.url);
      },
    );
  }

  /** Sends a request and resolves with the answer before its body is read. */
  async open(
    message: ICliRequest,
  ): Promise<Result<IncomingMessage, ICliFailure>> {
    try {
      return ok(await this.#sendRequest(message));
    } catch (error) {
      return err(this.#noAnswerFailure(error));
    }
  }

  #sendRequest(message: ICliRequest): Promise<IncomingMessage> {
    const { method = "GET", path, json, body } = message;
    const upload = body ??
      (json === undefined ? undefined : Response.json(json));
    return new Promise((resolve, reject) => {
      const outgoing = request(`${this.url}${path}`, {
        method,
        headers: {
          ...Object.fromEntries(upload?.headers ?? []),
          ...this.#headers,
          ...message.headers,
        },
        timeout: IDLE_TIMEOUT_MILLISECONDS,
      });
      outgoing.on("timeout", () => {
        const seconds = IDLE_TIMEOUT_MILLISECONDS / MILLISECONDS_PER_SECOND;
        outgoing.destroy(new Error(`no data for ${seconds} s`));
      });
      outgoing.on("response", resolve);
      outgoing.on("error", reject);
      if (!upload?.body) return outgoing.end();
      // An answer may arrive before the upload ends, so a failed upload is no
      // error by itself; the request's error event reports missing answers.
      pipeline(Readable.fromWeb(upload.body as never), outgoing)
        .catch(() => {});
    });
  }

  #noAnswerFailure(error: unknown): ICliFailure {
    const { code, message } = error as NodeJS.ErrnoException;
    const reason = code ?? message;
    return {
      exitCode: ExitCode.noAnswer,
      message: `no answer from ${this.url} (${reason})`,
    };
  }
}

/** Reads a complete body as text. */
export async function readText(response: IncomingMessage): Promise<string> {
  response.setEncoding("utf8");
  let text = "";
  for await (const part of response) text += part;
  return text;
}

/** Converts an answer with an error status to a failure. */
export function toFailure(status: number, body: unknown): ICliFailure {
  const { data } = errorBodySchema.safeParse(body);
  const message = data?.error.message ?? `unexpected status ${status}`;
  const verdict = data?.error.verdict;
  const exitCode = status === 404
    ? ExitCode.notFound
    : status === 409
    ? ExitCode.conflict
    : verdict === "may-have-run"
    ? ExitCode.noAnswer
    : ExitCode.failed;
  return { exitCode, message: verdict ? `${message} (${verdict})` : message };
}

/** Validates the body of an answer against its schema. */
export function parseBody<S extends z.ZodType>(
  body: unknown,
  schema: S,
  url: string,
): Result<z.infer<S>, ICliFailure> {
  const checked = schema.safeParse(body);
  if (checked.success) return ok(checked.data);
  const message = `${url} sent an unexpected answer; is it a figroad instance?`;
  return err({ exitCode: ExitCode.failed, message });
}
