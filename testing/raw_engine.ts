import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How a connection ends after an answer. */
export type Ending = "end" | "reset";

/** Bytes to write, and how the connection ends after them. */
export interface IRawAnswer {
  readonly bytes: string;
  readonly ending?: Ending;
}

/** Engine that answers each request with the bytes that the test gives. */
export class RawEngine {
  /**
   * Called with the bytes of a connection as they arrive; undefined if the test
   * writes to the connection itself.
   */
  answer: (request: string, socket: Socket) => IRawAnswer | undefined = () => ({
    bytes: "",
  });
  readonly softwareVersion = "v1";
  readonly standin = {
    start: async () => {
      this.#server.listen(0, "127.0.0.1");
      await once(this.#server, "listening");
      const { port } = this.#server.address() as AddressInfo;
      return { address: "127.0.0.1", port };
    },
    stop: () => {
      this.#server.close();
      for (const socket of this.#sockets) socket.destroy();
    },
  };
  #sockets = new Set<Socket>();
  #server: Server;

  constructor() {
    this.#server = createServer((socket) => this.#serve(socket));
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (data) => {
      const answer = this.answer(data.toString(), socket);
      if (!answer) return;
      const { bytes, ending } = answer;
      socket.write(bytes, () => {
        if (ending === "end") socket.end();
        // The bytes arrive before the reset.
        if (ending === "reset") setTimeout(() => socket.resetAndDestroy(), 5);
      });
    });
  }
}
