import { Agent, type IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type Deadline,
  earlierDeadline,
  type Failure,
  type IClock,
  type IDisposable,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import { GenerationError } from "./generation_error.ts";
import {
  exchange,
  HttpExchangeError,
  type IHttpRequest,
  readBody,
} from "./http_exchange.ts";
import { SseReader } from "./sse_reader.ts";
import {
  type CacheEvent,
  cacheEventSchema,
  type EngineOrder,
  type EngineState,
  engineStateSchema,
  type Generation,
  type GenerationChunk,
  type IEngineAdapter,
  type IGenerateOptions,
  type LoadReport,
  loadReportSchema,
} from "./types.ts";

/** Idle connections kept for each engine. */
const MAXIMUM_IDLE_CONNECTIONS = 64;

/** Seconds after which a refused request may be tried again. */
const RETRY_AFTER_SECONDS = 1;

const chunkSchema = z.object({
  choices: z.array(z.object({
    text: z.string().optional(),
    delta: z.object({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish(),
  })),
});

const cacheEventsSchema = z.object({ events: z.array(cacheEventSchema) });

/**
 * Engines with the OpenAI-compatible HTTP protocol and server-sent events.
 *
 * A stream is cancelled by closing its connection. It is resumed by the
 * body's field `resume`, which holds the text and the number of tokens that
 * an earlier attempt produced.
 */
export class HttpEngineAdapter implements IEngineAdapter, IDisposable {
  #clock: IClock;
  #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS,
  });

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  async *generate(
    engine: Engine,
    generation: Generation,
    options: IGenerateOptions,
  ): AsyncGenerator<GenerationChunk, void> {
    const response = await this.#begin(engine, generation, options);
    let ended = false;
    try {
      for await (const data of this.#events(response, options)) {
        if (data === "[DONE]") break;
        for (const chunk of parseChunk(data)) {
          ended ||= chunk.kind === "end";
          yield chunk;
        }
      }
    } finally {
      if (!ended) response.destroy();
    }
    if (!ended) {
      const reason = `engine ${engine.id} ended its stream early`;
      throw new GenerationError(mayHaveRun("target-error", reason));
    }
  }

  async loadReport(
    engine: Engine,
    options: { deadline: Deadline },
  ): Promise<Result<LoadReport, Failure>> {
    const request = { method: "GET", path: "/figroad/load" };
    return await this.#json(engine, request, {
      ...options,
      schema: loadReportSchema,
    });
  }

  async cacheEvents(
    engine: Engine,
    after: number,
    options: { deadline: Deadline },
  ): Promise<Result<CacheEvent[], Failure>> {
    const path = `/figroad/cache-events?after=${after}`;
    const answer = await this.#json(engine, { method: "GET", path }, {
      ...options,
      schema: cacheEventsSchema,
    });
    return answer.map(({ events }) => events);
  }

  async order(
    engine: Engine,
    order: EngineOrder,
    options: { deadline: Deadline; fencingNumber: number },
  ): Promise<Result<EngineState, Failure>> {
    const { fencingNumber, deadline } = options;
    const body = JSON.stringify({ order, fencingNumber });
    const request = { method: "POST", path: "/figroad/orders", body };
    return await this.#json(engine, request, {
      deadline,
      schema: engineStateSchema,
    });
  }

  async state(
    engine: Engine,
    options: { deadline: Deadline },
  ): Promise<Result<EngineState, Failure>> {
    const request = { method: "GET", path: "/figroad/state" };
    return await this.#json(engine, request, {
      ...options,
      schema: engineStateSchema,
    });
  }

  dispose(): void {
    this.#agent.destroy();
  }

  async #begin(
    engine: Engine,
    generation: Generation,
    options: IGenerateOptions,
  ): Promise<IncomingMessage> {
    const body = { ...generation.body, stream: true, resume: options.resume };
    let response: IncomingMessage;
    try {
      response = await this.#exchange(engine, {
        method: "POST",
        path: generation.endpoint,
        body: JSON.stringify(body),
      }, options);
    } catch (error) {
      throw new GenerationError(failureOf(engine, error));
    }
    if (response.statusCode === 200) return response;
    const text = (await readBody(response)).toString("utf8");
    throw new GenerationError(refusal(engine, response.statusCode ?? 0, text));
  }

  #exchange(
    engine: Engine,
    request: Omit<IHttpRequest, "address" | "port">,
    options: { deadline: Deadline; signal: AbortSignal },
  ): Promise<IncomingMessage> {
    const message = {
      ...request,
      address: engine.address,
      port: engine.port,
      headers: { "content-type": "application/json" },
    };
    const { deadline, signal } = options;
    return exchange(message, {
      clock: this.#clock,
      agent: this.#agent,
      deadline,
      signal,
    });
  }

  /** Yields event data until the stream ends, is cancelled or goes silent. */
  async *#events(
    response: IncomingMessage,
    options: IGenerateOptions,
  ): AsyncGenerator<string> {
    const reader = new SseReader();
    const decoder = new StringDecoder("utf8");
    let failure: Failure | undefined;
    const abort = (reason: Failure) => {
      failure ??= reason;
      response.destroy();
    };
    const cancel = () => abort(mayHaveRun("cancelled", "stream cancelled"));
    if (options.signal.aborted) cancel();
    options.signal.addEventListener("abort", cancel, { once: true });
    const silence = mayHaveRun("target-error", "engine went silent");
    let timer = this.#silenceTimer(options, () => abort(silence));
    try {
      for await (const bytes of response) {
        clearTimeout(timer);
        yield* reader.push(decoder.write(bytes));
        timer = this.#silenceTimer(options, () => abort(silence));
      }
    } catch (error) {
      failure ??= mayHaveRun("target-error", String(error));
    } finally {
      clearTimeout(timer);
      options.signal.removeEventListener("abort", cancel);
    }
    if (failure) throw new GenerationError(failure);
  }

  #silenceTimer(
    options: IGenerateOptions,
    onSilence: () => void,
  ): NodeJS.Timeout {
    const limit = this.#clock.deadlineIn(options.silenceMilliseconds);
    const deadline = earlierDeadline(limit, options.deadline);
    return setTimeout(onSilence, this.#clock.remaining(deadline));
  }

  async #json<S extends z.ZodType>(
    engine: Engine,
    request: Omit<IHttpRequest, "address" | "port">,
    options: { deadline: Deadline; schema: S },
  ): Promise<Result<z.infer<S>, Failure>> {
    const signal = AbortSignal.timeout(
      Math.ceil(this.#clock.remaining(options.deadline)),
    );
    try {
      const response = await this.#exchange(engine, request, {
        deadline: options.deadline,
        signal,
      });
      const text = (await readBody(response)).toString("utf8");
      if (response.statusCode !== 200) {
        return err(refusal(engine, response.statusCode ?? 0, text));
      }
      const parsed = options.schema.safeParse(JSON.parse(text));
      if (parsed.success) return ok(parsed.data);
      const reason = `engine ${engine.id}: ${parsed.error.message}`;
      return err(mayHaveRun("target-error", reason));
    } catch (error) {
      return err(failureOf(engine, error));
    }
  }
}

function parseChunk(data: string): GenerationChunk[] {
  const parsed = chunkSchema.safeParse(JSON.parse(data));
  const choice = parsed.data?.choices[0];
  if (!choice) return [];
  const text = choice.text ?? choice.delta?.content ?? "";
  const chunks: GenerationChunk[] = [];
  if (text !== "") chunks.push({ kind: "tokens", text, tokens: 1 });
  const finishReason = choice.finish_reason;
  if (finishReason) chunks.push({ kind: "end", finishReason });
  return chunks;
}

function failureOf(engine: Engine, error: unknown): Failure {
  const place = `engine ${engine.id}`;
  if (!(error instanceof HttpExchangeError)) {
    return mayHaveRun("target-error", `${place}: ${String(error)}`);
  }
  const build = error.mayHaveRun ? mayHaveRun : notRun;
  const code = error.code === "cancelled" ? "cancelled" : "unavailable";
  return build(code, `${place}: ${error.message}`);
}

/** An HTTP error status means that the engine did not begin. */
function refusal(engine: Engine, status: number, text: string): Failure {
  const reason = `engine ${engine.id} answered ${status}: ${
    text.slice(0, 200)
  }`;
  if (status === 400) return notRun("bad-request", reason);
  if (status === 409) return notRun("conflict", reason);
  if (status === 429 || status === 503) {
    return notRun("overloaded", reason, {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
  }
  return mayHaveRun("target-error", reason);
}
