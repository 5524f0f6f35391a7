import type { Server } from "node:net";

/** A server of `node:net` or `node:http`. */
export type Listener = Pick<Server, "listen" | "once" | "off" | "address">;

/**
 * Starts to listen on an IP address and resolves with the port, which the
 * operating system chooses if 0 is given. Rejects if the port is in use.
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
