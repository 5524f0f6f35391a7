import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { err, ok, type Result } from "neverthrow";
import { ByteBudget, type IDisposable, listen } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { RequestLimits } from "../service_routes/mod.ts";
import { bodiesTooLarge, edgeFailed, malformedRequest } from "./events.ts";
import { breakOff } from "./break_off.ts";
import { answerJson } from "./response_sink.ts";

/**
 * Margin added to the timeouts in the request limits, so that a connection is
 * not closed before the time that callers expect.
 */
const TIMEOUT_MARGIN_MILLISECONDS = 5_000;

/** Longest body of a request until the limits are known. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

const MAXIMUM_HEADER_BYTES = 32 * 1024;

/** Bytes of the bodies of all requests in progress. */
const MAXIMUM_HELD_BYTES = 48 * 1024 * 1024;

/** Delay before the retry of a request whose body found no room. */
const HELD_RETRY_MILLISECONDS = 500;

/** Time in which a whole request must arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 60_000;

/** Statuses of requests that Node does not pass on, by its error code. */
const MALFORMED_REQUEST_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

const BAD_REQUEST_STATUS = 400;
const UNAVAILABLE_STATUS = 503;

const MILLISECONDS_PER_SECOND = 1_000;

/** Error of a connection, or of the parser of its requests. */
interface IConnectionError extends Error {
  readonly code?: string;
  /** Bytes that the parser was given last. */
  readonly rawPacket?: Buffer;
}

/** Why the body of a request was not read. */
interface IUnreadBody {
  readonly status: number;
  readonly reason: string;
  readonly retryMilliseconds?: number;
}

interface IProgress {
  /** Whether the whole request has arrived. */
  hasBody: boolean;
  /** Whether it was refused before that, at the end of a stop. */
  isRefused: boolean;
}

/** Why a request is refused, and when its caller may come back. */
export interface IRefusal {
  readonly reason: string;
  readonly retryMilliseconds: number;
}

/** Answers a request whose body has been read. */
export type EdgeHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
) => Promise<void>;

/** HTTP server that buffers whole requests and can shut down gracefully. */
export class HttpEdge implements IDisposable {
  #server: Server;
  #handler: EdgeHandler;
  #events: IEventLog;
  /** Responses that have not ended. */
  #openResponses = new Map<ServerResponse, IProgress>();
  /** Open connections, with the bytes read up to their latest response. */
  #connections = new Map<Socket, number>();
  #isKeepAliveDisabled = false;
  #heldBodies = new ByteBudget(MAXIMUM_HELD_BYTES);
  #limits: RequestLimits | undefined;

  constructor(handler: EdgeHandler, options: { events: IEventLog }) {
    this.#handler = handler;
    this.#events = options.events;
    this.#server = createServer(
      {
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
        noDelay: true,
      },
      (request, response) => void this.#serve(request, response),
    );
    this.#server.on("clientError", (error: IConnectionError, socket) => {
      this.#rejectMalformed(error, socket);
    });
    this.#server.on("connection", (socket) => {
      this.#connections.set(socket, 0);
      socket.once("close", () => this.#connections.delete(socket));
    });
  }

  /** Number of requests that are being answered. */
  get openRequests(): number {
    return this.#openResponses.size;
  }

  /** Number of connections, with or without a request. */
  get openConnections(): number {
    return this.#connections.size;
  }

  listen(address: string, port: number): Promise<number> {
    return listen(this.#server, address, { port });
  }

  setLimits(limits: RequestLimits): void {
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds +
      TIMEOUT_MARGIN_MILLISECONDS;
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds +
      TIMEOUT_MARGIN_MILLISECONDS;
  }

  /** Closes each connection after the response that it receives next. */
  disableKeepAlive(): void {
    this.#isKeepAliveDisabled = true;
    for (const response of this.#openResponses.keys()) {
      if (!response.headersSent) response.shouldKeepAlive = false;
    }
  }

  /** Accepts no new connections and closes those that were used and are idle. */
  closeListener(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes connections on which no request has begun to arrive. */
  closeIdleConnections(): void {
    const busy = this.#busySockets();
    for (const [socket, bytesBefore] of this.#connections) {
      const isIdle = !busy.has(socket) && socket.bytesRead === bytesBefore;
      if (isIdle) socket.destroy();
    }
  }

  /**
   * Refuses requests that have arrived in part only and closes their
   * connections.
   */
  refuseIncomplete(refusal: IRefusal): void {
    const { reason, retryMilliseconds } = refusal;
    const busy = this.#busySockets();
    for (const [response, progress] of this.#openResponses) {
      if (progress.hasBody || response.headersSent) continue;
      progress.isRefused = true;
      response.shouldKeepAlive = false;
      const options = { body: { error: reason }, retryMilliseconds };
      answerJson(response, UNAVAILABLE_STATUS, options);
    }
    const seconds = retryMilliseconds / MILLISECONDS_PER_SECOND;
    for (const [socket, bytesBefore] of this.#connections) {
      if (busy.has(socket) || socket.bytesRead === bytesBefore) continue;
      socket.end(
        `HTTP/1.1 ${UNAVAILABLE_STATUS} ${STATUS_CODES[UNAVAILABLE_STATUS]}` +
          `\r\nRetry-After: ${seconds.toFixed(2)}\r\n` +
          "Content-Length: 0\r\nConnection: close\r\n\r\n",
      );
    }
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Answers bytes that Node's parser does not accept as a request. */
  #rejectMalformed(error: IConnectionError, socket: Duplex): void {
    const { code = "", rawPacket, message } = error;
    const isMalformed = code.startsWith("HPE_") ||
      code === "ERR_HTTP_REQUEST_TIMEOUT";
    // An answer would be taken for that of the request that is in progress.
    const hasRequest = [...this.#openResponses.keys()].some((response) =>
      response.socket === socket && response.req.complete
    );
    const isAnswered = isMalformed && socket.writable && !hasRequest;
    const status = MALFORMED_REQUEST_STATUSES[code] ?? BAD_REQUEST_STATUS;
    if (isMalformed) {
      this.#events.emit(malformedRequest, {
        ...{ status, code, isAnswered, reason: message },
        bytes: rawPacket?.length ?? 0,
      });
    }
    if (isAnswered) {
      socket.write(
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
          "Connection: close\r\n\r\n",
      );
    }
    socket.destroy(error);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const progress: IProgress = { hasBody: false, isRefused: false };
    const { socket } = request;
    this.#openResponses.set(response, progress);
    response.on("close", () => {
      this.#openResponses.delete(response);
      if (this.#connections.has(socket)) {
        this.#connections.set(socket, socket.bytesRead);
      }
    });
    if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false;
    try {
      const body = await this.#readBody(request, response);
      if (body.isErr()) {
        const { status, reason, retryMilliseconds } = body.error;
        // The rest of a body that found no room is read and discarded.
        if (retryMilliseconds === undefined) response.shouldKeepAlive = false;
        else request.resume();
        const options = { body: { error: reason }, retryMilliseconds };
        return answerJson(response, status, options);
      }
      if (progress.isRefused) return;
      progress.hasBody = true;
      await this.#handler(request, response, body.value);
    } catch (error) {
      if (response.destroyed || progress.isRefused) return;
      this.#events.emit(edgeFailed, {
        request: `${request.method} ${request.url}`,
        reason: (error as Error).stack ?? String(error),
      });
      const reason = "the program failed on this request";
      if (response.headersSent) breakOff(response);
      else answerJson(response, 500, { body: { error: reason } });
    }
  }

  /** Connections with a request whose head has arrived. */
  #busySockets(): Set<Socket | null> {
    return new Set(
      [...this.#openResponses.keys()].map(({ socket }) => socket),
    );
  }

  /** Reads a body, which counts as held until the response has ended. */
  async #readBody(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<Buffer, IUnreadBody>> {
    const maximum = this.#limits?.bodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES;
    const parts: Buffer[] = [];
    let length = 0;
    let held = 0;
    response.once("close", () => this.#heldBodies.release(held));
    for await (const part of request.iterator({ destroyOnReturn: false })) {
      length += (part as Buffer).length;
      if (length > maximum) {
        const reason = `the body exceeds ${maximum} bytes`;
        return err({ status: 413, reason });
      }
      if (!this.#heldBodies.tryTake((part as Buffer).length)) {
        this.#events.emit(bodiesTooLarge, {
          request: `${request.method} ${request.url}`,
          bytes: length,
        });
        const reason = "the bodies of other requests leave no room";
        const retryMilliseconds = HELD_RETRY_MILLISECONDS;
        return err({ status: 503, reason, retryMilliseconds });
      }
      held += (part as Buffer).length;
      parts.push(part as Buffer);
    }
    return ok(parts.length === 1 ? parts[0] as Buffer : Buffer.concat(parts));
  }
}
