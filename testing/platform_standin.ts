import { createServer, type Server } from "node:http";

/** An entry of the stand-in's list. */
export interface IPlatformStandinEntry {
  readonly id: string;
  readonly state: "live" | "leaving";
}

interface IListVersion {
  readonly at: number;
  readonly entries: readonly IPlatformStandinEntry[];
}

/** Platform whose list lags behind the truth. */
export class PlatformStandin {
  /** Age of the list that is served, in milliseconds. */
  lagMilliseconds = 0;
  /** Whether the list is frozen as it was served last. */
  isFrozen = false;
  /** How often the list was read. */
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

  /** Starts the platform and resolves with its port. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, "127.0.0.1", () => {
        resolve((this.#server.address() as { port: number }).port);
      });
    });
  }

  /** Changes the true list; it is served after the lag. */
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
