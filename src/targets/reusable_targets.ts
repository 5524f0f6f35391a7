import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { HttpExchangeError } from "./http_exchange.ts";

/** Header that identifies a request; targets may echo it. */
export const REQUEST_ID_HEADER = "x-request-id";

/** Targets that are remembered; the oldest are forgotten. */
const MAXIMUM_TARGETS = 10_000;

/**
 * Decides which targets' connections may be used for several requests.
 *
 * A faulty target may send a second copy of an answer, which the next request
 * on the connection would receive as its own. Only an echoed identifier tells
 * them apart, so connections are reused only to targets that echo it.
 */
export class ReusableTargets {
  #endpoints = new Set<string>();

  /** Creates the identifier of a request. */
  createRequestId(): string {
    return randomUUID();
  }

  mayReuse(target: { address: string; port: number }): boolean {
    return this.#endpoints.has(`${target.address}:${target.port}`);
  }

  /**
   * Records whether a target has echoed the identifier of a request.
   *
   * @throws HttpExchangeError if the answer belongs to another request.
   */
  checkAnswer(
    target: { address: string; port: number },
    options: { response: IncomingMessage; requestId: string },
  ): void {
    const { response, requestId } = options;
    const endpoint = `${target.address}:${target.port}`;
    const echoed = response.headers[REQUEST_ID_HEADER];
    if (echoed === requestId) {
      const [oldest] = this.#endpoints;
      if (this.#endpoints.size >= MAXIMUM_TARGETS && oldest !== undefined) {
        this.#endpoints.delete(oldest);
      }
      this.#endpoints.add(endpoint);
      return;
    }
    if (!this.#endpoints.delete(endpoint)) return;
    response.destroy();
    throw new HttpExchangeError(
      "connection",
      "the answer belongs to another request",
      true,
    );
  }
}
