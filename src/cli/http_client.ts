import { type IncomingMessage, request } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import { ExitCode, type ICliFailure } from "./exit_code.ts";

/** Silence after which no answer is expected any more, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Milliseconds in one second. */
const MILLISECONDS_PER_SECOND = 1_000;

/** Error body of both edges of figroad. */
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
  /** Sent as it is, such as an upload. */
  readonly body?: Response;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer with its JSON body. */
export interface ICliAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** One of figroad's HTTP edges. */
export class HttpClient {
  readonly url: string;
  #headers: Readonly<Record<string, string>>;

  constructor(url: string, headers: Readonly<Record<string, string>> = {}) {
    this.url = url.replace(/\/$/, "");
    this.#headers = headers;
  }

  /** Sends a request; a failure means that no whole answer arrived. */
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

  /** Sends a request and checks the body of a good answer. */
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

  /** Sends a request and resolves with the answer, its body unread. */
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
        outgoing.destroy(new Error(`silent for ${seconds} s`));
      });
      outgoing.on("response", resolve);
      outgoing.on("error", reject);
      if (!upload?.body) return outgoing.end();
      // An answer may come before the upload ends, so errors here are left
      // to the request's own error event.
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

/** Reads a whole body as text. */
export async function readText(response: IncomingMessage): Promise<string> {
  response.setEncoding("utf8");
  let text = "";
  for await (const part of response) text += part;
  return text;
}

/** The failure that an answer with an error status tells. */
export function toFailure(status: number, body: unknown): ICliFailure {
  const { data } = errorBodySchema.safeParse(body);
  const message = data?.error.message ?? `unexpected answer ${status}`;
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

/** Checks a body that figroad should have sent. */
export function parseBody<S extends z.ZodType>(
  body: unknown,
  schema: S,
  url: string,
): Result<z.infer<S>, ICliFailure> {
  const checked = schema.safeParse(body);
  if (checked.success) return ok(checked.data);
  const message = `${url} answered in an unknown form; is it figroad?`;
  return err({ exitCode: ExitCode.failed, message });
}
