import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import { match } from "ts-pattern";
import { breakOff } from "./break_off.ts";
import type {
  HeaderLines,
  IAnswerSink,
  ILocalFailure,
} from "../streams/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes a response to a caller's connection. */
export class ResponseSink implements IAnswerSink {
  #response: ServerResponse;
  #disconnected = new AbortController();

  constructor(response: ServerResponse) {
    this.#response = response;
    response.on("error", () => this.#disconnected.abort());
    response.on("close", () => {
      if (!response.writableFinished) this.#disconnected.abort();
    });
  }

  get signal(): AbortSignal {
    return this.#disconnected.signal;
  }

  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  begin(status: number, headers: HeaderLines): void {
    if (this.#response.destroyed) return;
    this.#response.writeHead(status, headers.flat());
    this.#response.flushHeaders();
  }

  async write(bytes: Buffer): Promise<void> {
    if (this.#response.destroyed || this.#response.write(bytes)) return;
    const { signal } = this;
    // The signal also ends the wait if the connection closes.
    await once(this.#response, "drain", { signal }).catch(() => {});
  }

  end(): void {
    this.#response.end();
  }

  abort(): void {
    breakOff(this.#response);
  }

  fail(failure: ILocalFailure): void {
    const status = match(failure.kind)
      .with("refused", () => 503)
      .with("limited", () => 429)
      .with("failed", () => 502)
      .with("timeout", () => 504)
      .exhaustive();
    const { reason, retryMilliseconds } = failure;
    answerJson(this.#response, status, {
      body: { error: reason },
      retryMilliseconds,
    });
  }
}

/** Sends a JSON response unless a response has already started. */
export function answerJson(
  response: ServerResponse,
  status: number,
  options: { body: unknown; retryMilliseconds?: number },
): void {
  if (response.destroyed || response.headersSent) return;
  const text = JSON.stringify(options.body);
  const headers: Record<string, string | number> = {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
  };
  const { retryMilliseconds } = options;
  if (retryMilliseconds !== undefined) {
    const seconds = retryMilliseconds / MILLISECONDS_PER_SECOND;
    headers["Retry-After"] = seconds.toFixed(2);
  }
  response.writeHead(status, headers);
  response.end(text);
}
