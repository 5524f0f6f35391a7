import { Buffer } from "node:buffer";
import { type IncomingMessage, request } from "node:http";

/** Response to a call; `error` is set if there is no complete one. */
export interface IAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly error?: string;
}

/** A request, on a connection of its own. */
export interface ICall {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Time limit for the complete answer. */
  readonly milliseconds: number;
}

/** Sends a request and reads the whole answer; never rejects. */
export function call(message: ICall): Promise<IAnswer> {
  const { address, port, method, path, headers, body, milliseconds } = message;
  return new Promise((resolve) => {
    const fail = (error: string) =>
      resolve({ status: 0, headers: {}, body: "", error });
    const outgoing = request(
      { host: address, port, method, path, headers, agent: false },
      (response) => {
        const parts: Buffer[] = [];
        response.on("data", (part: Buffer) => parts.push(part));
        response.on("error", (error) => fail(error.message));
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(parts).toString("utf8"),
          }));
      },
    );
    const timer = setTimeout(
      () => outgoing.destroy(new Error("no answer in time")),
      milliseconds,
    );
    outgoing.on("error", (error) => fail(error.message));
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.end(body);
  });
}

export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
