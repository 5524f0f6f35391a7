import { Buffer } from "node:buffer";
import type { Failure } from "../common/mod.ts";
import type { IOperationAnswer } from "../operations/mod.ts";
import { errorBody, statusOf } from "./respond.ts";

/** Longest answer that is kept for repeated requests, in bytes. */
const MAXIMUM_KEPT_BYTES = 256 * 1024;

/** Copy of an answer, to be recorded for repeated requests. */
export class AnswerCopy {
  #status = 0;
  #contentType = "";
  #parts: Buffer[] | undefined = [];
  #length = 0;

  /** The answer so far; undefined when it is too long to keep. */
  get answer(): IOperationAnswer | undefined {
    if (!this.#parts) return undefined;
    return {
      status: this.#status,
      contentType: this.#contentType,
      body: Buffer.concat(this.#parts).toString("base64"),
    };
  }

  begin(status: number, contentType: string): void {
    if (this.#status !== 0) return;
    this.#status = status;
    this.#contentType = contentType;
  }

  add(part: string | Uint8Array): void {
    const bytes = Buffer.from(part as Uint8Array);
    this.#length += bytes.length;
    if (this.#length > MAXIMUM_KEPT_BYTES) this.#parts = undefined;
    this.#parts?.push(bytes);
  }

  /** Makes a failure the answer, in place of what was written of another. */
  fail(failure: Failure): void {
    this.#status = statusOf(failure.code);
    this.#contentType = "application/json";
    this.#parts = [Buffer.from(JSON.stringify(errorBody(failure)))];
  }
}
