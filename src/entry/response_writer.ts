import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import {
  type Deadline,
  type Failure,
  type IClock,
  mayHaveRun,
} from "../common/mod.ts";
import { GenerationError } from "../targets/mod.ts";
import type { ResponseCapture } from "./response_capture.ts";
import { errorBody, sendFailure } from "./respond.ts";

/** Options of a writer. */
export interface IResponseWriterOptions {
  readonly clock: IClock;
  /** Point by which the caller must have taken the answer. */
  readonly deadline: Deadline;
  /** Takes a copy of all that is written. */
  readonly capture?: ResponseCapture;
}

/**
 * Writes an answer to a caller.
 *
 * Once the caller has hung up, only the copy is written.
 */
export class ResponseWriter {
  #response: ServerResponse;
  #options: IResponseWriterOptions;

  constructor(response: ServerResponse, options: IResponseWriterOptions) {
    this.#response = response;
    this.#options = options;
  }

  /** Writes the head unless it was written before. */
  writeHead(
    status: number,
    contentType: string,
    headers: OutgoingHttpHeaders = {},
  ): void {
    this.#options.capture?.setHead(status, contentType);
    if (this.#response.headersSent || this.#response.destroyed) return;
    this.#response.writeHead(status, {
      ...headers,
      "content-type": contentType,
    });
  }

  /**
   * Writes a part; waits while the caller reads slowly.
   *
   * @throws GenerationError when the caller does not read until the deadline.
   */
  async write(part: string | Uint8Array): Promise<void> {
    this.#options.capture?.append(part);
    if (this.#response.destroyed) return;
    if (!this.#response.write(part)) await this.#waitForDrain();
  }

  /** Ends the answer with a last part that is in the copy already. */
  end(part: string | Uint8Array): void {
    if (!this.#response.destroyed) this.#response.end(part);
  }

  /** Ends the answer with a failure, which is the last event of a stream. */
  endWithFailure(failure: Failure): void {
    if (!this.#response.headersSent) {
      sendFailure(this.#response, failure);
    } else if (!this.#response.destroyed) {
      this.#response.end(failureEvent(failure));
    }
  }

  /** Waits until a slow caller has taken what was written or has left. */
  #waitForDrain(): Promise<void> {
    const response = this.#response;
    const { clock, deadline } = this.#options;
    return new Promise((resolve, reject) => {
      const finish = () => {
        clearTimeout(timer);
        response.off("drain", finish);
        response.off("close", finish);
        resolve();
      };
      const expire = () => {
        const reason = "the caller reads too slowly";
        reject(new GenerationError(mayHaveRun("deadline-exceeded", reason)));
        finish();
        response.destroy();
      };
      const timer = setTimeout(expire, Math.ceil(clock.remaining(deadline)));
      response.once("drain", finish);
      response.once("close", finish);
    });
  }
}

/** A failure after a stream has begun, as a server-sent event. */
export function failureEvent(failure: Failure): string {
  return `data: ${JSON.stringify(errorBody(failure))}\n\n`;
}
