import { connect, type Socket } from "node:net";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import { FrameReader } from "./frame_reader.ts";
import type { Envelope } from "./messages.ts";
import type { IRpcStatistics, PeerAddress } from "./types.ts";

/** How long a connection may take to open, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** JSON-RPC error code for a call that got no answer in time. */
export const TIMEOUT_ERROR_CODE = -32001;

/** JSON-RPC error code for a call whose connection closed. */
export const CLOSED_ERROR_CODE = -32002;

/** One connection to a peer; a task reads it until it closes. */
export class RpcConnection implements IDisposable {
  readonly peer: PeerAddress;
  #clock: IClock;
  #statistics: IRpcStatistics;
  #socket: Socket;
  #client: JSONRPCClient;
  #pending = new Map<number, Deadline>();
  #nextId = 1;
  #lastReceived: Deadline;
  #closed = false;

  constructor(
    peer: PeerAddress,
    socket: Socket,
    options: { clock: IClock; statistics: IRpcStatistics },
  ) {
    this.peer = peer;
    this.#clock = options.clock;
    this.#statistics = options.statistics;
    this.#socket = socket;
    this.#lastReceived = options.clock.monotonic();
    this.#client = new JSONRPCClient(
      (request) => this.#send(JSON.stringify(request)),
      () => this.#nextId++,
    );
    void this.#read();
  }

  /** Opens a connection. Rejects when the peer cannot be reached in time. */
  static open(
    peer: PeerAddress,
    options: { clock: IClock; statistics: IRpcStatistics },
  ): Promise<RpcConnection> {
    return new Promise((resolve, reject) => {
      const socket = connect({ host: peer.address, port: peer.port });
      socket.setNoDelay(true);
      socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS, () => {
        socket.destroy(new Error("connection timed out"));
      });
      socket.once("error", reject);
      socket.once("connect", () => {
        socket.setTimeout(0);
        socket.off("error", reject);
        socket.on("error", () => {});
        resolve(new RpcConnection(peer, socket, options));
      });
    });
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  get pendingCalls(): number {
    return this.#pending.size;
  }

  /** Age of the longest waiting call, in milliseconds; 0 when none waits. */
  get oldestPendingAge(): number {
    const [oldest] = this.#pending.values();
    return oldest === undefined ? 0 : this.#clock.monotonic() - oldest;
  }

  /** Point at which bytes last arrived. */
  get lastReceived(): Deadline {
    return this.#lastReceived;
  }

  /** Sends a request and resolves with its answer or an error response. */
  async request(
    method: string,
    envelope: Envelope,
    deadline: Deadline,
  ): Promise<JSONRPCResponse> {
    const id = this.#nextId++;
    this.#pending.set(id, this.#clock.monotonic());
    const response = await this.#client
      .timeout(
        this.#clock.remaining(deadline),
        (id) => createJSONRPCErrorResponse(id, TIMEOUT_ERROR_CODE, "timeout"),
      )
      .requestAdvanced({ jsonrpc: "2.0", id, method, params: envelope });
    this.#pending.delete(id);
    return response;
  }

  /** Closes the connection; waiting calls end with a closed error. */
  dispose(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#socket.destroy();
    for (const id of [...this.#pending.keys()]) {
      this.#client.receive(
        createJSONRPCErrorResponse(id, CLOSED_ERROR_CODE, "connection closed"),
      );
    }
  }

  #send(frame: string): Promise<void> {
    if (!this.#closed) {
      this.#statistics.bytesSent += frame.length + 1;
      this.#socket.write(`${frame}\n`);
    }
    return Promise.resolve();
  }

  async #read(): Promise<void> {
    const reader = new FrameReader();
    try {
      for await (const bytes of this.#socket) {
        this.#lastReceived = this.#clock.monotonic();
        this.#statistics.bytesReceived += bytes.length;
        for (const frame of reader.push(bytes)) {
          this.#receive(JSON.parse(frame) as JSONRPCResponse);
        }
      }
    } catch {
      // The close below answers every waiting call.
    } finally {
      this.dispose();
    }
  }

  #receive(response: JSONRPCResponse): void {
    if (!this.#pending.has(response.id as number)) {
      this.#statistics.lateAnswersDropped += 1;
      return;
    }
    this.#client.receive(response);
  }
}
