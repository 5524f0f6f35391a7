import { createServer, type Server } from "node:http";
import type { IEndpoint } from "./http_call_2.ts";

/** An engine as the platform lists it. */
export interface IListedEngine {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly version: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  readonly "cold-left-ms": number;
  readonly stage: "both";
  readonly models: readonly { name: string; version: number; adapters: [] }[];
  readonly born: number;
}

/** Stand-in for the platform's list of engines. */
export class Platform {
  instances: IListedEngine[] = [];
  /** Text of an entry of another writer, which comes after the first one. */
  foreignEntry: string | undefined;
  #server: Server;
  #endpoint: IEndpoint = { address: "", port: 0 };

  constructor() {
    this.#server = createServer((request, response) => {
      request.resume();
      const isList = (request.url ?? "").startsWith("/instances");
      response.writeHead(isList ? 200 : 404, {
        "Content-Type": "application/json",
      });
      response.end(isList ? this.#page() : "");
    });
  }

  get endpoint(): IEndpoint {
    return this.#endpoint;
  }

  listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, address, () => {
        const { port } = this.#server.address() as { port: number };
        this.#endpoint = { address, port };
        resolve();
      });
    });
  }

  #page(): string {
    const [first, ...others] = this.instances.map((it) => JSON.stringify(it));
    const entries = [first, this.foreignEntry, ...others]
      .filter((entry) => entry !== undefined);
    return `{"instances":[${entries.join(",")}],"next":null}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
