import { createServer } from "node:net";
import process from "node:process";

/** Ports below the range that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Distance between the ports that two neighbouring processes begin with. */
const PORTS_PER_PROCESS = 200;

let next = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT;

/** Returns ports of the loopback interface that nothing listens on. */
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
