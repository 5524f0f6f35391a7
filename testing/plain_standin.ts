import { createServer, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Plain HTTP service that echoes each body and counts its runs. */
export class PlainStandin {
  /** Number of runs by request body. */
  readonly runs = new Map<string, number>();
  /** Delay between the run and its response. */
  delayMilliseconds = 0;
  /** Whether connections are destroyed after the run, without a response. */
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

  /** Starts the service; resolves with the port that it listens on. */
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
