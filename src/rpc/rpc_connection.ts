import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import { FrameReader, MAXIMUM_FRAME_CHARACTERS } from "./frame_reader.ts";
import { type Envelope, pingMethod } from "./messages.ts";
import type { IRpcStatistics, PeerAddress } from "./types.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Longest time to wait for a response; 24 hours. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 86_400_000;

/** Silence after which a connection with a timed-out call is suspect. */
const SUSPECT_AFTER_MILLISECONDS = 1_000;

/** Limit of bytes that are written but not yet sent to the peer. */
const MAXIMUM_BUFFERED_BYTES = 16 * 1024 * 1024;

/** JSON-RPC error code for a call that received no response in time. */
export const TIMEOUT_ERROR_CODE = -32001;

/** JSON-RPC error code for a call whose connection closed. */
export const CLOSED_ERROR_CODE = -32002;

/** JSON-RPC error code for a call that was not written. */
export const NOT_WRITTEN_ERROR_CODE = -32003;

/** JSON-RPC error code for a call that exceeds the maximum frame length. */
export const TOO_LARGE_ERROR_CODE = -32004;

export interface IRpcConnectionOptions {
  readonly clock: IClock;
  readonly statistics: IRpcStatistics;
}

/** A connection to a peer, which is read until it closes. */
export class RpcConnection implements IDisposable {
  readonly peer: PeerAddress;
  #clock: IClock;
  #statistics: IRpcStatistics;
  #socket: Socket;
  #client: JSONRPCClient;
  #pending = new Set<number>();
  #nextId = 1;
  #lastReceivedAt: Deadline;
  #lastRequestAt: Deadline;
  /** Time since which calls are unanswered; undefined if none is. */
  #unansweredSince: Deadline | undefined;
  /** Whether a call has timed out since bytes last arrived. */
  #hasTimedOut = false;
  #lateAnswers = 0;
  #closed = false;

  constructor(
    peer: PeerAddress,
    socket: Socket,
    options: IRpcConnectionOptions,
  ) {
    this.peer = peer;
    this.#clock = options.clock;
    this.#statistics = options.statistics;
    this.#socket = socket;
    this.#lastReceivedAt = options.clock.monotonic();
    this.#lastRequestAt = this.#lastReceivedAt;
    this.#client = new JSONRPCClient(
      (request) => this.#send(request),
      () => this.#nextId++,
    );
    void this.#readResponses();
  }

  /** Opens a connection. Rejects if the peer cannot be reached in time. */
  static open(
    peer: PeerAddress,
    options: IRpcConnectionOptions,
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

  /** Whether the write buffer is too full to accept new calls. */
  get isCongested(): boolean {
    return this.#socket.writableLength > MAXIMUM_BUFFERED_BYTES;
  }

  get pendingCalls(): number {
    return this.#pending.size;
  }

  /** Whether a call has timed out and nothing has arrived for a while. */
  get isSuspect(): boolean {
    return this.#hasTimedOut &&
      this.silenceMilliseconds > SUSPECT_AFTER_MILLISECONDS;
  }

  /**
   * Time during which nothing has arrived although calls were sent. Calls
   * that have timed out count as well, so that the silence of a connection
   * with many short calls is detected.
   */
  get silenceMilliseconds(): number {
    if (this.#unansweredSince === undefined) return 0;
    return this.#clock.monotonic() - this.#unansweredSince;
  }

  /** Answers since the last call of this method that came too late. */
  takeLateAnswers(): number {
    const count = this.#lateAnswers;
    this.#lateAnswers = 0;
    return count;
  }

  /** Time since the latest request or received bytes. */
  get idleMilliseconds(): number {
    const latest = Math.max(this.#lastRequestAt, this.#lastReceivedAt);
    return this.#clock.monotonic() - latest;
  }

  /** Sends a request and resolves with its response or an error response. */
  async request(
    method: string,
    envelope: Envelope,
    deadline: Deadline,
  ): Promise<JSONRPCResponse> {
    const id = this.#nextId++;
    this.#lastRequestAt = this.#clock.monotonic();
    this.#unansweredSince ??= this.#lastRequestAt;
    this.#pending.add(id);
    const timeout = Math.min(
      this.#clock.remaining(deadline),
      MAXIMUM_TIMEOUT_MILLISECONDS,
    );
    const response = await this.#client
      .timeout(
        timeout,
        (id) => createJSONRPCErrorResponse(id, TIMEOUT_ERROR_CODE, "timeout"),
      )
      .requestAdvanced({ jsonrpc: "2.0", id, method, params: envelope });
    this.#pending.delete(id);
    this.#hasTimedOut ||= response.error?.code === TIMEOUT_ERROR_CODE;
    return response;
  }

  /** Resolves with whether the peer responded before the deadline. */
  async ping(from: string, deadline: Deadline): Promise<boolean> {
    const remaining = this.#clock.remaining(deadline);
    const envelope = { from, remaining, body: {} };
    const response = await this.request(pingMethod.name, envelope, deadline);
    return response.error === undefined;
  }

  /** Closes the connection; pending calls fail with CLOSED_ERROR_CODE. */
  dispose(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#socket.destroy();
    for (const id of [...this.#pending]) {
      this.#client.receive(
        createJSONRPCErrorResponse(id, CLOSED_ERROR_CODE, "connection closed"),
      );
    }
  }

  #send(request: { id?: unknown }): Promise<void> {
    const frame = JSON.stringify(request);
    const fail = (code: number, reason: string) =>
      this.#client.receive(
        createJSONRPCErrorResponse(request.id as number, code, reason),
      );
    if (this.#closed) {
      fail(NOT_WRITTEN_ERROR_CODE, "connection was closed before the call");
    } else if (frame.length > MAXIMUM_FRAME_CHARACTERS) {
      fail(TOO_LARGE_ERROR_CODE, "call exceeds the maximum frame length");
    } else {
      const bytes = Buffer.from(`${frame}\n`);
      this.#statistics.bytesSent += bytes.length;
      this.#socket.write(bytes);
    }
    return Promise.resolve();
  }

  async #readResponses(): Promise<void> {
    const reader = new FrameReader();
    try {
      for await (const bytes of this.#socket) {
        this.#lastReceivedAt = this.#clock.monotonic();
        this.#statistics.bytesReceived += bytes.length;
        for (const frame of reader.push(bytes)) {
          this.#handleResponse(JSON.parse(frame) as JSONRPCResponse);
        }
        this.#hasTimedOut = false;
        this.#unansweredSince = this.#pending.size > 0
          ? this.#lastReceivedAt
          : undefined;
      }
    } catch {
      // dispose() below fails every pending call.
    } finally {
      this.dispose();
    }
  }

  #handleResponse(response: JSONRPCResponse): void {
    if (!this.#pending.delete(response.id as number)) {
      this.#statistics.lateAnswersDropped += 1;
      this.#lateAnswers += 1;
      return;
    }
    this.#client.receive(response);
  }
}
