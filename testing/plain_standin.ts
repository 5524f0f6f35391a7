import { createServer, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Plain service that returns each body and counts how often it ran. */
export class PlainStandin {
  /** How often a body ran. */
  readonly runs = new Map<string, number>();
  /** Delay between running and answering, in milliseconds. */
  delayMilliseconds = 0;
  /** Breaks connections after running, before answering. */
  dropsAnswers = false;
  #server: Server;

  constructor() {
    this.#server = createServer(async (request, response) => {
      let body = "";
      for await (const part of request.setEncoding("utf8")) body += part;
      this.runs.set(body, (this.runs.get(body) ?? 0) + 1);
      if (this.delayMilliseconds > 0) await sleep(this.delayMilliseconds);
      if (this.dropsAnswers) return response.destroy();
      response.writeHead(200, { "content-type": "text/plain" });
      response.end(body);
    });
  }

  /** Starts the service and resolves with its port. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, "127.0.0.1", () => {
        resolve((this.#server.address() as { port: number }).port);
      });
    });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
