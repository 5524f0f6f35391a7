import { connect, createServer, type Server, type Socket } from "node:net";

/** A connection through a relay. */
interface IRelayedConnection {
  readonly client: Socket;
  readonly target: Socket;
  isSilent: boolean;
  /** Whether bytes from the target were lost; later ones are not forwarded. */
  hasGap: boolean;
}

/** TCP relay on loopback that can inject network faults. */
export class Relay {
  /** Number of connections accepted so far. */
  connectionsOpened = 0;
  #targetPort: number;
  #server: Server;
  #connections = new Set<IRelayedConnection>();
  /** Delay before bytes are forwarded. */
  delayMilliseconds = 0;
  /** Whether bytes from the target are lost; bytes to it are forwarded. */
  dropsAnswers = false;
  #refusesNew = false;
  #silencesNew = false;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((client) => this.#accept(client));
  }

  /** Starts the relay; resolves with the port that it listens on. */
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

  /** Resets open connections; new ones are accepted. */
  resetOpenConnections(): void {
    for (const { client, target } of this.#connections) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
  }

  /** Stops forwarding on open connections permanently; new ones work. */
  silenceOpenConnections(): void {
    for (const link of this.#connections) link.isSilent = true;
  }

  /** Stops forwarding on open connections, and on new ones until `heal`. */
  isolate(): void {
    this.#silencesNew = true;
    this.silenceOpenConnections();
  }

  /** Lets new connections work again; silenced ones stay silent. */
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

  /** Forwards bytes and the close, unless the connection is silent. */
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
      // Bytes after a lost part would corrupt the stream.
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
