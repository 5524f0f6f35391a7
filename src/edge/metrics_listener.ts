import { createServer, type Server } from "node:http";
import { type IDisposable, listen } from "../common/mod.ts";
import type { IMetrics } from "../metrics/mod.ts";
import { answerJson } from "./response_sink.ts";

const METRICS_PATH = "/metrics";

/** Documents by path, which are sent as JSON. */
export type OperatorPages = ReadonlyMap<string, () => unknown>;

/** HTTP server for metrics in the text exposition format and other pages. */
export class MetricsListener implements IDisposable {
  #server: Server;

  constructor(metrics: IMetrics, pages: OperatorPages = new Map()) {
    this.#server = createServer((request, response) => {
      const page = pages.get(request.url ?? "");
      if (page) return answerJson(response, 200, { body: page() });
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
