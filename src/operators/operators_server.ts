import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type IDisposable, notRun } from "../common/mod.ts";
import { sendFailure } from "../entry/respond.ts";
import type { IOperatorRoute } from "./types.ts";

/** HTTP edge for operators, metrics and the balancer's probes. */
export class OperatorsServer implements IDisposable {
  #routes: readonly IOperatorRoute[];
  #server: Server;

  constructor(routes: readonly IOperatorRoute[]) {
    this.#routes = routes;
    this.#server = createServer((message, response) => {
      void this.#serve(message, response);
    });
  }

  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound ? bound.port : port);
      });
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(message.url ?? "/", "http://figroad");
    const route = this.#routes.find((route) =>
      route.method === message.method && route.path.test(url.pathname)
    );
    if (!route) {
      const reason = `no operator endpoint at ${url.pathname}`;
      return sendFailure(response, notRun("not-found", reason));
    }
    await route.handle({ url, message, response });
  }
}
