import { createServer, type Server } from "node:net";
import process from "node:process";

/** Ports below the range of ephemeral ports for outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Ports that a process claims at once. */
const BLOCK_PORTS = 200;
const BLOCK_COUNT = PORT_COUNT / BLOCK_PORTS;

/** Ports of the claimed block that have not been returned yet. */
let unusedPorts: number[] = [];

/** Returns loopback ports that are free and not reserved by another process. */
export async function reservePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (unusedPorts.length === 0) unusedPorts = await claimPortBlock();
    const port = unusedPorts.shift();
    if (port !== undefined && await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Claims a block of ports by listening on its first port until the process
 * ends, so that concurrent processes never use the same block.
 */
async function claimPortBlock(): Promise<number[]> {
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt++) {
    const block = (process.pid + attempt) % BLOCK_COUNT;
    const first = FIRST_PORT + block * BLOCK_PORTS;
    const claim = await listen(first);
    if (!claim) continue;
    claim.unref();
    return Array.from(
      { length: BLOCK_PORTS - 1 },
      (_, index) => first + 1 + index,
    );
  }
  throw new Error("all port blocks are claimed by other processes");
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (!server) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
