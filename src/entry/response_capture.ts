import { Buffer } from "node:buffer";
import type { Failure } from "../common/mod.ts";
import type { IOperationAnswer } from "../operations/mod.ts";
import { errorBody, httpStatus } from "./respond.ts";

/** Maximum size of a response that is recorded for retries, in bytes. */
const MAXIMUM_CAPTURED_BYTES = 256 * 1024;

/** Copy of a response, to be recorded for retries of the request. */
export class ResponseCapture {
  #status = 0;
  #contentType = "";
  #parts: Buffer[] | undefined = [];
  #length = 0;

  /** The response so far; undefined if it is too large to record. */
  get answer(): IOperationAnswer | undefined {
    if (!this.#parts) return undefined;
    return {
      status: this.#status,
      contentType: this.#contentType,
      body: Buffer.concat(this.#parts).toString("base64"),
    };
  }

  setHead(status: number, contentType: string): void {
    if (this.#status !== 0) return;
    this.#status = status;
    this.#contentType = contentType;
  }

  append(part: string | Uint8Array): void {
    const bytes = Buffer.from(part as Uint8Array);
    this.#length += bytes.length;
    if (this.#length > MAXIMUM_CAPTURED_BYTES) this.#parts = undefined;
    this.#parts?.push(bytes);
  }

  /** Replaces what was captured before with a failure. */
  replaceWithFailure(failure: Failure): void {
    this.#status = httpStatus(failure.code);
    this.#contentType = "application/json";
    this.#parts = [Buffer.from(JSON.stringify(errorBody(failure)))];
  }
}
