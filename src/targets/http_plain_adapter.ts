import { Agent, type IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import {
  type Failure,
  type IClock,
  type IDisposable,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import { GenerationError } from "./generation_error.ts";
import { exchange, HttpExchangeError } from "./http_exchange.ts";
import { REQUEST_ID_HEADER, ReusableTargets } from "./reusable_targets.ts";
import type {
  IPlainAdapter,
  IPlainCallOptions,
  IPlainRequest,
  IPlainResponse,
  IPlainTarget,
} from "./types.ts";

/** Idle connections that are kept open to each target. */
const MAXIMUM_IDLE_CONNECTIONS = 32;

/** Adapter to plain services over HTTP. */
export class HttpPlainAdapter implements IPlainAdapter, IDisposable {
  #clock: IClock;
  #agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS,
  });

  #reusable = new ReusableTargets();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  async call(
    target: IPlainTarget,
    request: IPlainRequest,
    options: IPlainCallOptions,
  ): Promise<Result<IPlainResponse, Failure>> {
    const { address, port } = target;
    // The caller's own identifier may be the same in several requests.
    const hasOwnId = request.headers?.[REQUEST_ID_HEADER] !== undefined;
    const requestId = this.#reusable.createRequestId();
    const headers = { [REQUEST_ID_HEADER]: requestId, ...request.headers };
    try {
      const response = await exchange({ ...request, address, port, headers }, {
        clock: this.#clock,
        agent: this.#agent,
        deadline: options.headDeadline,
        signal: options.signal,
        freshConnection: options.freshConnection || hasOwnId ||
          !this.#reusable.mayReuse(target),
      });
      if (!hasOwnId) {
        this.#reusable.checkAnswer(target, { response, requestId });
      }
      this.#destroyAtDeadline(response, options);
      return ok({
        status: response.statusCode ?? 502,
        headers: response.headers,
        body: streamBody(target, response),
      });
    } catch (error) {
      return err(toFailure(target, error));
    }
  }

  dispose(): void {
    this.#agent.destroy();
  }

  /** Destroys the response at its deadline or when the call is cancelled. */
  #destroyAtDeadline(
    response: IncomingMessage,
    options: IPlainCallOptions,
  ): void {
    const destroy = () => response.destroy();
    const timer = setTimeout(
      destroy,
      Math.ceil(this.#clock.remaining(options.deadline)),
    );
    options.signal.addEventListener("abort", destroy, { once: true });
    if (options.signal.aborted) destroy();
    response.once("close", () => {
      clearTimeout(timer);
      options.signal.removeEventListener("abort", destroy);
    });
  }
}

async function* streamBody(
  target: IPlainTarget,
  response: IncomingMessage,
): AsyncGenerator<Uint8Array, void> {
  try {
    for await (const part of response) yield part as Uint8Array;
  } catch (error) {
    throw new GenerationError(toFailure(target, error));
  }
  if (response.complete) return;
  const failure = toFailure(target, new Error("response is incomplete"));
  throw new GenerationError(failure);
}

function toFailure(target: IPlainTarget, error: unknown): Failure {
  const reason = `target ${target.id}: ${String(error)}`;
  if (!(error instanceof HttpExchangeError)) {
    return mayHaveRun("target-error", reason);
  }
  const createFailure = error.mayHaveRun ? mayHaveRun : notRun;
  const code = match(error.code)
    .with("cancelled", () => "cancelled" as const)
    .with("timeout", () => "deadline-exceeded" as const)
    .with("connection", () => "unavailable" as const)
    .with("invalid", () => "target-error" as const)
    .exhaustive();
  return createFailure(code, reason);
}
