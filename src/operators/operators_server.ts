import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type IDisposable, listen, mayHaveRun, notRun } from "../common/mod.ts";
import { requestCrashed } from "../entry/events.ts";
import { sendFailure } from "../entry/respond.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IOperatorRoute } from "./types.ts";

/** Base URL for parsing request targets, which contain only a path. */
const BASE_URL = "http://figroad";

/** HTTP server for operators, metrics and the load balancer's probes. */
export class OperatorsServer implements IDisposable {
  #routes: readonly IOperatorRoute[];
  #events: IEventLog;
  #server: Server;

  constructor(
    routes: readonly IOperatorRoute[],
    options: { events: IEventLog },
  ) {
    this.#routes = routes;
    this.#events = options.events;
    this.#server = createServer((message, response) => {
      void this.#serve(message, response);
    });
  }

  listen(address: string, port: number): Promise<number> {
    return listen(this.#server, address, { port });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const target = message.url ?? "/";
    if (!URL.canParse(target, BASE_URL)) {
      return sendFailure(
        response,
        notRun("bad-request", "request target is not a valid URL"),
      );
    }
    const url = new URL(target, BASE_URL);
    const route = this.#routes.find((route) =>
      route.method === message.method && route.path.test(url.pathname)
    );
    if (!route) {
      const reason = `no operator endpoint at ${url.pathname}`;
      return sendFailure(response, notRun("not-found", reason));
    }
    try {
      await route.handle({ url, message, response });
    } catch (error) {
      const request = `${message.method} ${url.pathname}`;
      this.#events.emit(requestCrashed, { request, error: String(error) });
      sendFailure(response, mayHaveRun("internal", "internal error"));
    }
  }
}
