import type { Deadline } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IEngineAnswer, IEngineClient } from "../streams/mod.ts";
import { requestRelayed } from "./events.ts";
import type { RelayDirectory } from "./relay_directory.ts";
import { RelayError } from "./relay_error.ts";
import type { IEnginePaths, ILinkState } from "./types.ts";

/** Dependencies of an `EngineRouter`. */
export interface IEngineRouterOptions {
  readonly links: ILinkState;
  readonly relays: RelayDirectory;
  readonly events: IEventLog;
}

/**
 * Sends requests to engines over this instance's own links or, while it is cut
 * off from all engines, through an instance that reaches them.
 */
export class EngineRouter implements IEngineClient, IEnginePaths {
  #client: IEngineClient;
  #options: IEngineRouterOptions;

  constructor(client: IEngineClient, options: IEngineRouterOptions) {
    this.#client = client;
    this.#options = options;
  }

  get hasPath(): boolean {
    const { links, relays } = this.#options;
    return !links.isCutOff || !relays.isEmpty;
  }

  checkLinks(since: Deadline): Promise<boolean> {
    return this.#options.links.check(since);
  }

  async send(
    engine: Parameters<IEngineClient["send"]>[0],
    request: Parameters<IEngineClient["send"]>[1],
    options: Parameters<IEngineClient["send"]>[2],
  ): Promise<IEngineAnswer> {
    const { links, relays, events } = this.#options;
    const relay = links.isCutOff ? relays.choose() : undefined;
    if (!relay) return await this.#client.send(engine, request, options);
    events.emit(requestRelayed, {
      request: request.id,
      engine: engine.id,
      relay: relay.address,
    });
    try {
      return await this.#client.send(engine, request, { ...options, relay });
    } catch (error) {
      if (error instanceof RelayError && error.fault === "relay") {
        relays.recordFailure(relay, error.message);
      }
      throw error;
    }
  }
}
