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
  #restart: NodeJS.Timeout | undefined;

  constructor(handler: HttpStandinHandler) {
    this.#server = createServer((request, response) => {
      this.requests.push(request);
      request.resume();
      request.on("end", () => handler(request, response));
    });
  }

  /** Starts to listen, on a free port unless one is given. */
  async start(onPort = 0): Promise<{ address: string; port: number }> {
    await new Promise<void>((resolve) =>
      this.#server.listen(onPort, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return { address: "127.0.0.1", port };
  }

  /** Breaks all connections and refuses new ones for some time. */
  crash(milliseconds: number): void {
    const address = this.#server.address() as AddressInfo | null;
    if (address === null) return;
    this.stop();
    this.#restart = setTimeout(
      () => void this.start(address.port),
      milliseconds,
    );
  }

  stop(): void {
    clearTimeout(this.#restart);
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
