import { Buffer } from "node:buffer";
import { Agent, type IncomingMessage, request } from "node:http";
import type { Deadline, IClock } from "../common/mod.ts";

/** A request to one target over HTTP. */
export interface IHttpRequest {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** Error of an exchange, with what is known about the target. */
export class HttpExchangeError extends Error {
  /** False only when the target provably got no byte of the request. */
  readonly mayHaveRun: boolean;
  readonly code: "timeout" | "cancelled" | "connection";

  constructor(
    code: "timeout" | "cancelled" | "connection",
    message: string,
    mayHaveRun: boolean,
  ) {
    super(message);
    this.code = code;
    this.mayHaveRun = mayHaveRun;
  }
}

/** Options of an exchange. */
export interface IExchangeOptions {
  readonly clock: IClock;
  readonly agent: Agent;
  /** Point by which the response's head must have arrived. */
  readonly deadline: Deadline;
  readonly signal: AbortSignal;
}

/** Sends a request and resolves with the response once its head is there. */
export function exchange(
  message: IHttpRequest,
  options: IExchangeOptions,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let connected = false;
    const outgoing = request({
      agent: options.agent,
      host: message.address,
      port: message.port,
      method: message.method,
      path: message.path,
      headers: message.headers,
    });
    const fail = (
      code: "timeout" | "cancelled" | "connection",
      reason: string,
    ) => {
      clearTimeout(timer);
      options.signal.removeEventListener("abort", cancel);
      outgoing.destroy();
      reject(new HttpExchangeError(code, reason, connected));
    };
    const timer = setTimeout(
      () => fail("timeout", "no response in time"),
      options.clock.remaining(options.deadline),
    );
    const cancel = () => fail("cancelled", "request cancelled");
    if (options.signal.aborted) return cancel();
    options.signal.addEventListener("abort", cancel, { once: true });
    outgoing.on("socket", (socket) => {
      const begin = () => connected = true;
      if (socket.connecting) socket.once("connect", begin);
      else begin();
    });
    outgoing.on("error", (error) => fail("connection", error.message));
    outgoing.on("response", (response) => {
      clearTimeout(timer);
      options.signal.removeEventListener("abort", cancel);
      response.on("error", () => {});
      resolve(response);
    });
    outgoing.end(message.body);
  });
}

/** Reads a whole response body. */
export async function readBody(response: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of response) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
}
