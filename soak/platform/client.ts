import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { HOST } from "../../testing/platform_configuration.ts";

/** Answer as the client received it. */
export interface IClientAnswer {
  /** Undefined if no response headers arrived. */
  readonly status: number | undefined;
  readonly text: string;
  /** Whether the answer is complete. */
  readonly isComplete: boolean;
  /** Engine that announced in the answer that it leaves. */
  readonly leavingEngine: string | undefined;
}

/** HTTP client that keeps its connections open between requests. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #headers: Record<string, string>;

  /** @param headers sent with each request unless it has others. */
  constructor(headers: Record<string, string> = {}) {
    this.#headers = headers;
  }

  /** Sends a request; resolves also if the answer is missing or incomplete. */
  send(
    endpoint: { address: string; port: number },
    message: {
      method: string;
      path: string;
      headers?: Record<string, string>;
      body?: string;
      timeoutMilliseconds: number;
    },
  ): Promise<IClientAnswer> {
    const { method, path, body, timeoutMilliseconds } = message;
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let status: number | undefined;
      let leavingEngine: string | undefined;
      const finish = (isComplete: boolean) => {
        const text = Buffer.concat(chunks).toString();
        resolve({ status, isComplete, text, leavingEngine });
      };
      const outgoing = request({
        host: endpoint.address,
        port: endpoint.port,
        agent: this.#agent,
        ...{ method, path },
        headers: { Host: HOST, ...this.#headers, ...message.headers },
        signal: AbortSignal.timeout(timeoutMilliseconds),
      }, (response) => {
        status = response.statusCode;
        const { headers } = response;
        leavingEngine = headers["server-leaving"] === "1"
          ? String(headers["response-stamp"])
          : undefined;
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => finish(false));
        response.on("end", () => finish(response.complete));
      });
      outgoing.on("error", () => finish(false));
      outgoing.end(body);
    });
  }

  dispose(): void {
    this.#agent.destroy();
  }
}
