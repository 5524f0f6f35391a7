import { createServer, type Server } from "node:http";
import { type IDisposable, listen } from "../common/mod.ts";
import type { IMetrics } from "../metrics/mod.ts";

const METRICS_PATH = "/metrics";

/** HTTP server for metrics in the text exposition format. */
export class MetricsListener implements IDisposable {
  #server: Server;

  constructor(metrics: IMetrics) {
    this.#server = createServer((request, response) => {
      const isKnown = request.url === METRICS_PATH;
      const text = isKnown ? metrics.render() : "";
      response.writeHead(isKnown ? 200 : 404, { "Content-Type": "text/plain" });
      response.end(text);
    });
  }

  listen(address: string, port: number): Promise<number> {
    return listen(this.#server, address, { port });
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
