import { connect, createServer, type Server, type Socket } from "node:net";

/** One connection through a relay. */
interface IPair {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
  /** Whether bytes of the target were lost, so that none follow. */
  isMute: boolean;
}

/** TCP relay on loopback whose connections a test can disturb. */
export class Relay {
  /** Connections accepted so far. */
  connectionsOpened = 0;
  #targetPort: number;
  #server: Server;
  #pairs = new Set<IPair>();
  /** Time by which bytes are held back, in milliseconds. */
  delayMilliseconds = 0;
  /** Whether bytes of the target are lost, while those to it arrive. */
  losesAnswers = false;
  #refusing = false;
  #silentForNew = false;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((near) => this.#accept(near));
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
  cut(): void {
    this.#refusing = true;
    this.resetOpenConnections();
  }

  /** Resets open connections; new ones work. */
  resetOpenConnections(): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Open connections carry nothing more, for good; new ones work. */
  silenceOpenConnections(): void {
    for (const pair of this.#pairs) pair.silent = true;
  }

  /** Nothing is carried, on open and on new connections, until `heal`. */
  isolate(): void {
    this.#silentForNew = true;
    this.silenceOpenConnections();
  }

  /** New connections work again; silenced ones stay silent. */
  heal(): void {
    this.#refusing = false;
    this.#silentForNew = false;
  }

  dispose(): void {
    this.#server.close();
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }

  #accept(near: Socket): void {
    this.connectionsOpened += 1;
    near.on("error", () => {});
    if (this.#refusing) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ host: "127.0.0.1", port: this.#targetPort });
    far.on("error", () => near.destroy());
    const pair = {
      ...{ near, far, silent: this.#silentForNew },
      isMute: false,
    };
    this.#pairs.add(pair);
    this.#carry(pair, near, far);
    this.#carry(pair, far, near);
  }

  /** Copies bytes and the close; a silent pair copies neither. */
  #carry(pair: IPair, from: Socket, to: Socket): void {
    const queue: (() => void)[] = [];
    const later = (action: () => void) => {
      const { delayMilliseconds } = this;
      if (delayMilliseconds === 0 && queue.length === 0) return action();
      queue.push(action);
      setTimeout(() => queue.shift()?.(), delayMilliseconds);
    };
    from.setNoDelay(true);
    from.on("data", (bytes) => {
      // What is lost once leaves a gap, so nothing may follow it.
      if (this.losesAnswers && from === pair.far) pair.isMute = true;
      if (pair.silent || pair.isMute && from === pair.far) return;
      later(() => {
        if (!to.destroyed && !to.write(bytes)) from.pause();
      });
    });
    to.on("drain", () => from.resume());
    from.on("close", () => {
      if (pair.silent) return;
      later(() => {
        this.#pairs.delete(pair);
        to.destroy();
      });
    });
  }
}
