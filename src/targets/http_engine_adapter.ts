import { Agent, type IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
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
import { ChunkReader } from "./chunk_reader.ts";
import { GenerationError } from "./generation_error.ts";
import {
  exchange,
  HttpExchangeError,
  type IExchangeOptions,
  type IHttpRequest,
  readBody,
} from "./http_exchange.ts";
import { REQUEST_ID_HEADER, ReusableTargets } from "./reusable_targets.ts";
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

/** Idle connections that are kept open to each engine. */
const MAXIMUM_IDLE_CONNECTIONS = 64;

/** Delay before the retry of a refused request. */
const RETRY_AFTER_SECONDS = 1;

/** Time in which the body of an error response must arrive. */
const ERROR_BODY_TIMEOUT_MILLISECONDS = 1_000;

const cacheEventsSchema = z.object({ events: z.array(cacheEventSchema) });

/**
 * Adapter to engines with the OpenAI-compatible HTTP protocol and server-sent
 * events.
 *
 * Closing its connection cancels a stream. The field `resume` of the request
 * body resumes one: it contains the text and the number of tokens that an
 * earlier attempt produced.
 */
export class HttpEngineAdapter implements IEngineAdapter, IDisposable {
  #clock: IClock;
  #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS,
  });

  #reusable = new ReusableTargets();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  async *generate(
    engine: Engine,
    generation: Generation,
    options: IGenerateOptions,
  ): AsyncGenerator<GenerationChunk, void> {
    const response = await this.#startStream(engine, generation, options);
    const reader = new ChunkReader(response, options, this.#clock);
    try {
      let chunk: GenerationChunk;
      do {
        chunk = await reader.next();
        yield chunk;
      } while (chunk.kind !== "end");
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      throw new GenerationError(withEngineId(engine, error.failure));
    } finally {
      reader.dispose();
    }
  }

  async loadReport(
    engine: Engine,
    options: { deadline: Deadline },
  ): Promise<Result<LoadReport, Failure>> {
    const request = { method: "GET", path: "/figroad/load" };
    return await this.#requestJson(engine, request, {
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
    const answer = await this.#requestJson(engine, { method: "GET", path }, {
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
    return await this.#requestJson(engine, request, {
      deadline,
      schema: engineStateSchema,
    });
  }

  async state(
    engine: Engine,
    options: { deadline: Deadline },
  ): Promise<Result<EngineState, Failure>> {
    const request = { method: "GET", path: "/figroad/state" };
    return await this.#requestJson(engine, request, {
      ...options,
      schema: engineStateSchema,
    });
  }

  dispose(): void {
    this.#agent.destroy();
  }

  async #startStream(
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
      }, {
        deadline: options.firstTokenDeadline ?? options.deadline,
        signal: options.signal,
        freshConnection: options.freshConnection,
      });
    } catch (error) {
      throw new GenerationError(toFailure(engine, error));
    }
    if (response.statusCode === 200) return response;
    throw new GenerationError(
      await this.#readErrorResponse(engine, response, options),
    );
  }

  async #readErrorResponse(
    engine: Engine,
    response: IncomingMessage,
    options: { deadline: Deadline },
  ): Promise<Failure> {
    const deadline = earlierDeadline(
      options.deadline,
      this.#clock.deadlineIn(ERROR_BODY_TIMEOUT_MILLISECONDS),
    );
    let text = "";
    try {
      const body = await readBody(response, { clock: this.#clock, deadline });
      text = body.toString("utf8");
    } catch {
      response.destroy();
    }
    return failureOfStatus(engine, response.statusCode ?? 0, text);
  }

  async #exchange(
    engine: Engine,
    request: Omit<IHttpRequest, "address" | "port">,
    options: Omit<IExchangeOptions, "clock" | "agent">,
  ): Promise<IncomingMessage> {
    const { address, port } = engine;
    const requestId = this.#reusable.createRequestId();
    const headers = {
      "content-type": "application/json",
      [REQUEST_ID_HEADER]: requestId,
    };
    const response = await exchange({ ...request, address, port, headers }, {
      ...options,
      freshConnection: options.freshConnection ||
        !this.#reusable.mayReuse(engine),
      clock: this.#clock,
      agent: this.#agent,
    });
    this.#reusable.checkAnswer(engine, { response, requestId });
    return response;
  }

  async #requestJson<S extends z.ZodType>(
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
      if (response.statusCode !== 200) {
        return err(await this.#readErrorResponse(engine, response, options));
      }
      const body = await readBody(response, {
        clock: this.#clock,
        deadline: options.deadline,
      });
      const text = body.toString("utf8");
      const parsed = options.schema.safeParse(JSON.parse(text));
      if (parsed.success) return ok(parsed.data);
      const reason = `engine ${engine.id}: ${parsed.error.message}`;
      return err(mayHaveRun("target-error", reason));
    } catch (error) {
      return err(toFailure(engine, error));
    }
  }
}

function withEngineId(engine: Engine, failure: Failure): Failure {
  return { ...failure, message: `engine ${engine.id}: ${failure.message}` };
}

function toFailure(engine: Engine, error: unknown): Failure {
  if (!(error instanceof HttpExchangeError)) {
    return withEngineId(engine, mayHaveRun("target-error", String(error)));
  }
  const createFailure = error.mayHaveRun ? mayHaveRun : notRun;
  const code = match(error.code)
    .with("cancelled", () => "cancelled" as const)
    .with("timeout", () => "deadline-exceeded" as const)
    .with("connection", () => "unavailable" as const)
    .with("invalid", () => "target-error" as const)
    .exhaustive();
  return withEngineId(engine, createFailure(code, error.message));
}

/**
 * Maps an HTTP error status to a failure.
 *
 * Statuses with which a server refuses a request before it starts to process
 * it mean `not-run`. After any other status, the request may have run.
 */
function failureOfStatus(
  engine: Engine,
  status: number,
  text: string,
): Failure {
  const message = `HTTP status ${status}: ${text.slice(0, 200)}`;
  const failure = match(status)
    .with(400, 413, 422, () => notRun("bad-request", message))
    .with(401, 403, 404, () => notRun("unavailable", message))
    .with(409, () => notRun("conflict", message))
    .with(429, 503, () =>
      notRun("overloaded", message, {
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      }))
    .otherwise(() => mayHaveRun("target-error", message));
  return withEngineId(engine, failure);
}
