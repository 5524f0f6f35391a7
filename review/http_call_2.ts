import { Buffer } from "node:buffer";
import { type IncomingHttpHeaders, request } from "node:http";

export interface IEndpoint {
  readonly address: string;
  readonly port: number;
}

export interface ICall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Buffer;
  /** Time after which the client leaves. */
  readonly milliseconds: number;
}

/** A complete answer, or status 0 if there was none. */
export interface ICallAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly error: string;
}

/** Sends a request on a new connection and reads the whole answer. */
export function call(
  endpoint: IEndpoint,
  message: ICall,
): Promise<ICallAnswer> {
  const { method, path, headers, body, milliseconds } = message;
  return new Promise((resolve) => {
    const fail = (error: Error) => {
      clearTimeout(timer);
      resolve({ status: 0, headers: {}, text: "", error: error.message });
    };
    const outgoing = request({
      ...{ host: endpoint.address, port: endpoint.port, agent: false },
      ...{ method, path, headers },
    }, (response) => {
      const parts: Buffer[] = [];
      response.on("data", (part: Buffer) => parts.push(part));
      response.on("error", fail);
      response.on("end", () => {
        clearTimeout(timer);
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
          error: "",
        });
      });
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error("the client left")),
      milliseconds,
    );
    outgoing.on("error", fail);
    outgoing.end(body);
  });
}
