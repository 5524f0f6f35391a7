import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import {
  type Deadline,
  type Failure,
  type IClock,
  mayHaveRun,
} from "../common/mod.ts";
import { GenerationError } from "../targets/mod.ts";
import { breakOff } from "../edge/mod.ts";
import type { ResponseCapture } from "./response_capture.ts";
import { errorBody, sendFailure } from "./respond.ts";

/** Options of a response writer. */
export interface IResponseWriterOptions {
  readonly clock: IClock;
  /** Time by which the caller must have read the response. */
  readonly deadline: Deadline;
  /** Receives a copy of everything that is written. */
  readonly capture?: ResponseCapture;
}

/**
 * Writes a response to a caller.
 *
 * After the caller has disconnected, only the copy is written.
 */
export class ResponseWriter {
  #response: ServerResponse;
  #options: IResponseWriterOptions;

  constructor(response: ServerResponse, options: IResponseWriterOptions) {
    this.#response = response;
    this.#options = options;
  }

  /** Writes status and headers unless they were written before. */
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
   * Writes a part of the body. If the write buffer is full, waits until the
   * caller has read it.
   *
   * @throws GenerationError if the caller does not read before the deadline.
   */
  async write(part: string | Uint8Array): Promise<void> {
    this.#options.capture?.append(part);
    if (this.#response.destroyed) return;
    if (!this.#response.write(part)) await this.#waitForDrain();
  }

  /**
   * Ends the response with a final part. The part is not added to the copy,
   * because `OperationSession.finish` adds it.
   */
  end(part: string | Uint8Array): void {
    if (!this.#response.destroyed) this.#response.end(part);
  }

  /** Ends the response with a failure; in a stream, it is the last event. */
  endWithFailure(failure: Failure): void {
    if (!this.#response.headersSent) {
      sendFailure(this.#response, failure);
    } else if (!this.#response.destroyed) {
      this.#response.end(failureEvent(failure));
    }
  }

  /** Resolves when the write buffer is empty or the connection is closed. */
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
        const reason = "caller did not read the response in time";
        reject(new GenerationError(mayHaveRun("deadline-exceeded", reason)));
        finish();
        breakOff(response);
      };
      const timer = setTimeout(expire, Math.ceil(clock.remaining(deadline)));
      response.once("drain", finish);
      response.once("close", finish);
    });
  }
}

/** Formats a failure after the start of a stream as a server-sent event. */
export function failureEvent(failure: Failure): string {
  return `data: ${JSON.stringify(errorBody(failure))}\n\n`;
}
