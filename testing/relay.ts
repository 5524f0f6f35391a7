import { connect, createServer, type Server, type Socket } from "node:net";

/** One connection through a relay. */
interface IRelayedConnection {
  readonly client: Socket;
  readonly target: Socket;
  isSilent: boolean;
  /** Whether bytes of the target were lost, so that none follow. */
  hasGap: boolean;
}

/** TCP relay on loopback whose connections a test can disturb. */
export class Relay {
  /** Connections accepted so far. */
  connectionsOpened = 0;
  #targetPort: number;
  #server: Server;
  #connections = new Set<IRelayedConnection>();
  /** Time by which bytes are held back, in milliseconds. */
  delayMilliseconds = 0;
  /** Whether bytes of the target are lost, while those to it arrive. */
  dropsAnswers = false;
  #refusesNew = false;
  #silencesNew = false;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((client) => this.#accept(client));
  }

  /** Starts to relay and resolves with the port. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        resolve((this.#server.address() as { port: number }).port);
      });
    });
  }

  /** Resets open connections and refuses new ones until `heal`. */
  disconnect(): void {
    this.#refusesNew = true;
    this.resetOpenConnections();
  }

  /** Resets open connections; new ones work. */
  resetOpenConnections(): void {
    for (const { client, target } of this.#connections) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
  }

  /** Open connections carry nothing more, for good; new ones work. */
  silenceOpenConnections(): void {
    for (const link of this.#connections) link.isSilent = true;
  }

  /** Nothing is carried, on open and on new connections, until `heal`. */
  isolate(): void {
    this.#silencesNew = true;
    this.silenceOpenConnections();
  }

  /** New connections work again; silenced ones stay silent. */
  heal(): void {
    this.#refusesNew = false;
    this.#silencesNew = false;
  }

  dispose(): void {
    this.#server.close();
    for (const { client, target } of this.#connections) {
      client.destroy();
      target.destroy();
    }
  }

  #accept(client: Socket): void {
    this.connectionsOpened += 1;
    client.on("error", () => {});
    if (this.#refusesNew) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({ host: "127.0.0.1", port: this.#targetPort });
    target.on("error", () => client.destroy());
    const link = {
      ...{ client, target, isSilent: this.#silencesNew },
      hasGap: false,
    };
    this.#connections.add(link);
    this.#forward(link, client, target);
    this.#forward(link, target, client);
  }

  /** Copies bytes and the close; a silent link copies neither. */
  #forward(link: IRelayedConnection, from: Socket, to: Socket): void {
    const queue: (() => void)[] = [];
    const enqueue = (action: () => void) => {
      const { delayMilliseconds } = this;
      if (delayMilliseconds === 0 && queue.length === 0) return action();
      queue.push(action);
      setTimeout(() => queue.shift()?.(), delayMilliseconds);
    };
    from.setNoDelay(true);
    from.on("data", (bytes) => {
      // What is lost once leaves a gap, so nothing may follow it.
      if (this.dropsAnswers && from === link.target) link.hasGap = true;
      if (
        link.isSilent ||
        link.hasGap && from === link.target
      ) return;
      enqueue(() => {
        if (!to.destroyed && !to.write(bytes)) from.pause();
      });
    });
    to.on("drain", () => from.resume());
    from.on("close", () => {
      if (link.isSilent) return;
      enqueue(() => {
        this.#connections.delete(link);
        to.destroy();
      });
    });
  }
}
