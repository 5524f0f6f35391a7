import { Agent } from "node:http";
import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import { exchange, HttpExchangeError, readBody } from "./http_exchange.ts";
import type {
  IPlainAdapter,
  IPlainRequest,
  IPlainResponse,
  IPlainTarget,
} from "./types.ts";

/** Plain services over HTTP. */
export class HttpPlainAdapter implements IPlainAdapter, IDisposable {
  #clock: IClock;
  #agent = new Agent({ keepAlive: true });

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  async call(
    target: IPlainTarget,
    request: IPlainRequest,
    options: { deadline: Deadline; signal: AbortSignal },
  ): Promise<Result<IPlainResponse, Failure>> {
    const message = {
      ...request,
      address: target.address,
      port: target.port,
    };
    const remaining = Math.ceil(this.#clock.remaining(options.deadline));
    const expiry = AbortSignal.timeout(remaining);
    try {
      const response = await exchange(message, {
        clock: this.#clock,
        agent: this.#agent,
        deadline: options.deadline,
        signal: options.signal,
      });
      const stop = () => response.destroy();
      expiry.addEventListener("abort", stop, { once: true });
      const body = await readBody(response);
      const headers = Object.fromEntries(
        Object.entries(response.headers).map((
          [name, value],
        ) => [name, String(value)]),
      );
      return ok({ status: response.statusCode ?? 502, headers, body });
    } catch (error) {
      const reason = `target ${target.id}: ${String(error)}`;
      const unsent = error instanceof HttpExchangeError && !error.mayHaveRun;
      return err((unsent ? notRun : mayHaveRun)("unavailable", reason));
    }
  }

  dispose(): void {
    this.#agent.destroy();
  }
}
