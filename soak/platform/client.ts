import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { HOST } from "../../testing/platform_configuration.ts";

/** Answer as a client sees it. */
export interface IClientAnswer {
  /** Undefined when no answer came. */
  readonly status: number | undefined;
  readonly text: string;
  /** Whether the answer came whole. */
  readonly isWhole: boolean;
}

/** Client that keeps its connections open until they end. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** Sends a request; resolves also when no answer or a part of it comes. */
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
      const finish = (isWhole: boolean) =>
        resolve({ status, isWhole, text: Buffer.concat(chunks).toString() });
      const outgoing = request({
        host: endpoint.address,
        port: endpoint.port,
        agent: this.#agent,
        ...{ method, path },
        headers: { Host: HOST, ...message.headers },
        signal: AbortSignal.timeout(timeoutMilliseconds),
      }, (response) => {
        status = response.statusCode;
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
