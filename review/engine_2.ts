import { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import type { IEndpoint } from "./http_call_2.ts";

/** A request as an engine has read it. */
export interface IEngineRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly socket: Socket;
  /** Number of the connection, counted from 1. */
  readonly connection: number;
}

export type EngineHandler = (request: IEngineRequest) => void;

/**
 * Engine that speaks HTTP over plain sockets, so that it can send any bytes.
 * It reads one request at a time from a connection; bodies have a length.
 */
export class RawEngine {
  readonly id: string;
  #server: Server;
  #sockets = new Set<Socket>();
  #handler: EngineHandler;
  #connections = 0;
  #endpoint: IEndpoint = { address: "", port: 0 };

  constructor(id: string, handler: EngineHandler) {
    this.id = id;
    this.#handler = handler;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  get endpoint(): IEndpoint {
    return this.#endpoint;
  }

  listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, address, () => {
        const { port } = this.#server.address() as { port: number };
        this.#endpoint = { address, port };
        resolve();
      });
    });
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#connections += 1;
    const connection = this.#connections;
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    let rest: Buffer = Buffer.alloc(0);
    socket.on("data", (bytes: Buffer) => {
      rest = Buffer.concat([rest, bytes]);
      for (;;) {
        const read = readRequest(rest);
        if (!read) return;
        rest = rest.subarray(read.length);
        this.#handler({ ...read.request, socket, connection });
      }
    });
  }
}

function readRequest(bytes: Buffer):
  | {
    request: Omit<IEngineRequest, "socket" | "connection">;
    length: number;
  }
  | undefined {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd === -1) return undefined;
  const [first = "", ...lines] = bytes.toString("latin1", 0, headEnd)
    .split("\r\n");
  const [method = "", path = ""] = first.split(" ");
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(":");
      return [
        line.slice(0, colon).toLowerCase(),
        line.slice(colon + 1).trim(),
      ];
    }),
  );
  const bodyStart = headEnd + 4;
  const length = bodyStart + Number(headers.get("content-length") ?? 0);
  if (bytes.length < length) return undefined;
  const body = bytes.subarray(bodyStart, length);
  return { request: { method, path, headers, body }, length };
}

/** Bytes of an answer with a length. */
export function answerBytes(
  status: string,
  headers: Record<string, string>,
  body = "",
): string {
  const lines = Object.entries({
    ...headers,
    "Content-Length": String(Buffer.byteLength(body)),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join("")}\r\n${body}`;
}

/** Head of an answer in chunks. */
export function streamHead(headers: Record<string, string>): string {
  const lines = Object.entries({
    ...headers,
    "Content-Type": "text/event-stream",
    "Transfer-Encoding": "chunked",
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`;
}

export function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}
