import type { Server } from "node:net";

/** A listener for connections, of `node:net` or `node:http`. */
export type Listener = Pick<Server, "listen" | "once" | "off" | "address">;

/**
 * Starts to listen on an IP number and resolves with the port, which the
 * system chooses when 0 is asked for. Rejects when the address is in use.
 */
export function listen(
  server: Listener,
  address: string,
  options: { port: number },
): Promise<number> {
  const { port } = options;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : port);
    });
  });
}
