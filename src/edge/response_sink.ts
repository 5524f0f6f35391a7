import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import { match } from "ts-pattern";
import { breakOff } from "./break_off.ts";
import type { IBufferedOutput, OutputBudget } from "./output_budget.ts";
import type {
  HeaderLines,
  IAnswerSink,
  ILocalFailure,
} from "../streams/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes a response to a caller's connection. */
export class ResponseSink implements IAnswerSink, IBufferedOutput {
  #response: ServerResponse;
  #budget: OutputBudget | undefined;
  #disconnected = new AbortController();
  /** Whether the budget counts bytes of this response. */
  #isHolding = false;

  /**
   * @param budget bounds the bytes held for a slow reader; without one, the
   * writer waits as soon as the connection's own buffer is full.
   */
  constructor(response: ServerResponse, budget?: OutputBudget) {
    this.#response = response;
    this.#budget = budget;
    response.on("error", () => this.#disconnected.abort());
    response.on("drain", () => this.#updateBudget());
    response.on("close", () => {
      budget?.remove(this);
      if (!response.writableFinished) this.#disconnected.abort();
    });
  }

  get heldBytes(): number {
    return this.#response.writableLength;
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
    if (this.#response.destroyed) return;
    const isTaken = this.#response.write(bytes);
    if (isTaken && !this.#isHolding) return;
    const mayHoldMore = this.#updateBudget();
    if (isTaken || mayHoldMore) return;
    const { signal } = this;
    // The signal also ends the wait if the connection closes.
    await once(this.#response, "drain", { signal }).catch(() => {});
  }

  end(): void {
    this.#response.end();
  }

  /** Returns whether the response may hold more bytes than it does. */
  #updateBudget(): boolean {
    if (!this.#budget || this.#response.destroyed) return false;
    this.#isHolding = this.heldBytes > 0;
    return this.#budget.update(this);
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
