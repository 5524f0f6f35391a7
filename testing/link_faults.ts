import { Socket } from "node:net";
import process from "node:process";

/**
 * How the links of a process fail:
 *
 * - `silent`: open connections hang, and new ones are never established.
 * - `reset`: open connections are reset, and new ones are refused.
 * - `refuse`: open connections go on, and new ones are refused.
 */
export type LinkFaultKind = "silent" | "reset" | "refuse";

/** Message that a fleet sends to a process loaded with this module. */
export interface ILinkFault {
  /** Ports and addresses of the peers to which the links fail. */
  readonly ports: readonly number[];
  readonly addresses: readonly string[];
  /** Undefined when the links work again. */
  readonly kind: LinkFaultKind | undefined;
}

/** Port on which nothing listens, so that connections to it are refused. */
const CLOSED_PORT = 1;

/** End of a connection. */
interface IPeer {
  readonly host?: string;
  readonly port?: number | string;
}

let fault: ILinkFault = { ports: [], addresses: [], kind: undefined };
/** Open connections with the peers that they lead to. */
const openSockets = new Map<Socket, IPeer>();

function isCutOff({ host, port }: IPeer): boolean {
  return fault.ports.includes(Number(port)) ||
    fault.addresses.includes(host ?? "");
}

/** Makes a connection hang in both directions. */
function silence(socket: Socket): void {
  socket._write = () => {};
  socket._writev = () => {};
  socket._read = () => {};
  socket.removeAllListeners("data");
  socket.on("data", () => {});
}

/** Simulates the network of a process below its sockets. */
function installLinkFaults(): void {
  const connect = Socket.prototype.connect as (...args: unknown[]) => Socket;
  Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
    // `net.connect` passes its normalized arguments as one array.
    const [first] = args as [unknown];
    const [options] = Array.isArray(first) ? first : [first];
    const { host, port } = options as IPeer;
    const isCut = isCutOff({ host, port });
    if (isCut && fault.kind === "silent") {
      (this as { connecting: boolean }).connecting = true;
      return this;
    }
    if (isCut && fault.kind !== undefined) {
      (options as { port: number }).port = CLOSED_PORT;
    }
    openSockets.set(this, { host, port });
    this.once("close", () => openSockets.delete(this));
    return connect.apply(this, args);
  } as typeof Socket.prototype.connect;
  process.on("message", (message: ILinkFault) => {
    fault = message;
    for (const [socket, peer] of openSockets) {
      if (!isCutOff(peer)) continue;
      if (fault.kind === "silent") silence(socket);
      if (fault.kind === "reset") socket.destroy(new Error("read ECONNRESET"));
    }
  });
  process.channel?.unref();
}

installLinkFaults();
