import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Responds to one request to an HTTP stand-in. */
export type HttpStandinHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** HTTP server on loopback that simulates an engine or the platform. */
export class HttpStandin {
  readonly requests: IncomingMessage[] = [];
  #server: Server;

  constructor(handler: HttpStandinHandler) {
    this.#server = createServer((request, response) => {
      this.requests.push(request);
      request.resume();
      request.on("end", () => handler(request, response));
    });
  }

  async start(): Promise<{ address: string; port: number }> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return { address: "127.0.0.1", port };
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
