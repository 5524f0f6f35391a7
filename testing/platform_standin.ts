import { createServer, type Server } from "node:http";

/** An entry of the platform's list. */
export interface IPlatformStandinEntry {
  readonly id: string;
  readonly state: "live" | "leaving";
}

interface IListVersion {
  readonly at: number;
  readonly entries: readonly IPlatformStandinEntry[];
}

/** Simulated platform that serves an outdated list. */
export class PlatformStandin {
  /** Age of the served list. */
  lagMilliseconds = 0;
  /** Whether the list that was served last is served again. */
  isFrozen = false;
  /** Number of reads of the list. */
  reads = 0;
  #versions: IListVersion[] = [{ at: 0, entries: [] }];
  #served: readonly IPlatformStandinEntry[] = [];
  #server: Server;

  constructor() {
    this.#server = createServer((_, response) => {
      this.reads += 1;
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify({ entries: this.#list() }));
    });
  }

  /** Starts the platform; resolves with the port that it listens on. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, "127.0.0.1", () => {
        resolve((this.#server.address() as { port: number }).port);
      });
    });
  }

  /** Sets the current list; it is served once the lag has passed. */
  set(entries: readonly IPlatformStandinEntry[]): void {
    this.#versions.push({ at: performance.now(), entries });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #list(): readonly IPlatformStandinEntry[] {
    if (this.isFrozen) return this.#served;
    const until = performance.now() - this.lagMilliseconds;
    const version = this.#versions.findLast(({ at }) => at <= until);
    this.#served = version?.entries ?? this.#served;
    return this.#served;
  }
}
