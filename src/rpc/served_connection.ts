import type { Socket } from "node:net";
import {
  createJSONRPCErrorResponse,
  type JSONRPCRequest,
  type JSONRPCResponse,
  type JSONRPCServer,
} from "json-rpc-2.0";
import {
  type Failure,
  type IClock,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { frameRejected, slowReaderClosed } from "./events.ts";
import { FrameReader, MAXIMUM_FRAME_CHARACTERS } from "./frame_reader.ts";

/** Calls of one connection that are handled at the same time. */
const MAXIMUM_CONCURRENT_CALLS = 1_024;

/** Limit of response bytes that are written but not yet sent to the peer. */
const MAXIMUM_BUFFERED_BYTES = 16 * 1024 * 1024;

/** Time in which a peer must read its buffered responses. */
const SLOW_READER_TIMEOUT_MILLISECONDS = 10_000;

/** Delay before the retry of a call beyond MAXIMUM_CONCURRENT_CALLS. */
const RETRY_AFTER_SECONDS = 1;

/** JSON-RPC error code of an error whose data is a `Failure`. */
export const FAILURE_ERROR_CODE = -32000;

export interface IServedConnectionOptions {
  readonly methods: JSONRPCServer<void>;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/** A connection opened by a peer, whose calls this instance handles. */
export class ServedConnection {
  #socket: Socket;
  #methods: JSONRPCServer<void>;
  #clock: IClock;
  #events: IEventLog;
  #runningCalls = 0;

  constructor(socket: Socket, options: IServedConnectionOptions) {
    this.#socket = socket;
    this.#methods = options.methods;
    this.#clock = options.clock;
    this.#events = options.events;
    socket.setNoDelay(true);
    socket.on("error", () => {});
  }

  /** Reads and handles calls until the connection closes. */
  async serve(): Promise<void> {
    const reader = new FrameReader();
    try {
      for await (const bytes of this.#socket) {
        for (const frame of reader.push(bytes)) {
          this.#handleFrame(frame);
        }
        await this.#waitForDrain();
      }
    } catch (error) {
      if (error instanceof SyntaxError || error instanceof RangeError) {
        this.#events.emit(frameRejected, {
          address: this.#socket.remoteAddress ?? "",
          reason: error.message,
        });
      }
    } finally {
      this.#socket.destroy();
    }
  }

  #handleFrame(frame: string): void {
    const request: unknown = JSON.parse(frame);
    if (typeof request !== "object" || request === null) {
      throw new SyntaxError("frame is not a JSON object");
    }
    void this.#handleRequest(request as JSONRPCRequest);
  }

  async #handleRequest(request: JSONRPCRequest): Promise<void> {
    const id = request.id ?? null;
    if (this.#runningCalls >= MAXIMUM_CONCURRENT_CALLS) {
      const failure = notRun(
        "overloaded",
        "too many concurrent calls on this connection",
        {
          retryAfterSeconds: RETRY_AFTER_SECONDS,
        },
      );
      return this.#send(failureResponse(id, failure));
    }
    this.#runningCalls += 1;
    try {
      const response = await this.#methods.receive(request);
      if (response) this.#send(response);
    } catch (error) {
      const failure = mayHaveRun("internal", String(error));
      this.#send(failureResponse(id, failure));
    } finally {
      this.#runningCalls -= 1;
    }
  }

  #send(response: JSONRPCResponse): void {
    if (!this.#socket.writable) return;
    const frame = JSON.stringify(response);
    if (frame.length > MAXIMUM_FRAME_CHARACTERS) {
      const reason = "response exceeds the maximum frame length";
      const failure = mayHaveRun("too-large", reason);
      return this.#send(failureResponse(response.id, failure));
    }
    this.#socket.write(`${frame}\n`);
  }

  /**
   * Delays further reads while too many response bytes are buffered. Closes the
   * connection if the peer does not read them in time.
   */
  async #waitForDrain(): Promise<void> {
    if (this.#socket.writableLength <= MAXIMUM_BUFFERED_BYTES) return;
    const deadline = this.#clock.deadlineIn(SLOW_READER_TIMEOUT_MILLISECONDS);
    const drained = new AbortController();
    this.#socket.once("drain", () => drained.abort());
    this.#socket.once("close", () => drained.abort());
    await this.#clock.sleepUntil(deadline, drained.signal);
    if (drained.signal.aborted) return;
    this.#events.emit(slowReaderClosed, {
      address: this.#socket.remoteAddress ?? "",
      bufferedBytes: this.#socket.writableLength,
    });
    this.#socket.destroy();
  }
}

function failureResponse(
  id: JSONRPCResponse["id"],
  failure: Failure,
): JSONRPCResponse {
  const { message } = failure;
  return createJSONRPCErrorResponse(id, FAILURE_ERROR_CODE, message, failure);
}
