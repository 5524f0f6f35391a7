import { createServer, type Server } from "node:http";
import { type IDisposable, listen } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { readinessChanged } from "./events.ts";

/** State that an entry needs before it can accept callers' requests. */
export interface IReadinessSources {
  readonly hasRoutes: () => boolean;
  /** Number of known engines. */
  readonly engineCount: () => number;
  /** Whether requests that need a key would be refused. */
  readonly lacksKeyPermission: () => boolean;
}

/** Reports to the load balancer whether this instance accepts callers. */
export class Readiness implements IDisposable {
  #sources: IReadinessSources;
  #events: IEventLog;
  #server: Server;
  #isStopping = false;
  #wasReady = false;

  constructor(sources: IReadinessSources, options: { events: IEventLog }) {
    this.#sources = sources;
    this.#events = options.events;
    this.#server = createServer((_, response) => {
      const status = this.#checkReadiness() ? 200 : 503;
      response.writeHead(status, { "Content-Length": 0 });
      response.end();
    });
  }

  listen(address: string, port: number): Promise<number> {
    return listen(this.#server, address, { port });
  }

  /** Reports that the instance is not ready from now on. */
  setStopping(): void {
    this.#isStopping = true;
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #checkReadiness(): boolean {
    const reason = this.#unreadyReason();
    const isReady = reason === undefined;
    if (isReady !== this.#wasReady) {
      this.#events.emit(readinessChanged, {
        isReady,
        reason: reason ?? "routes and engines are known",
      });
    }
    this.#wasReady = isReady;
    return isReady;
  }

  #unreadyReason(): string | undefined {
    if (this.#isStopping) return "the process is stopping";
    if (!this.#sources.hasRoutes()) return "no routes are known";
    if (this.#sources.engineCount() === 0) return "no engines are known";
    return this.#sources.lacksKeyPermission()
      ? "callers' keys are not confirmed"
      : undefined;
  }
}
