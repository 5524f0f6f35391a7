import { Buffer } from "node:buffer";
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from "node:http";
import type { Socket } from "node:net";
import type { Deadline, IClock } from "../common/mod.ts";
import type { IHeaders } from "./types.ts";

/** A request to one target over HTTP. */
export interface IHttpRequest {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: IHeaders;
  readonly body?: string | Uint8Array;
}

/** What ended a request; `invalid` if what the target sent is no answer. */
type ExchangeErrorCode = "timeout" | "cancelled" | "connection" | "invalid";

/** Lowest and highest status of an answer; 1xx only precede one (RFC 9110). */
const MINIMUM_STATUS = 200;
const MAXIMUM_STATUS = 599;

/** Most interim answers (status 1xx) to one request. */
const MAXIMUM_INTERIM_ANSWERS = 32;

/**
 * Bytes without the head of an answer from which on there is none. The parser
 * accepts a head of 16 KiB, but skips any number of empty lines before it.
 */
const MAXIMUM_BYTES_BEFORE_HEAD = 256 * 1024;

/** Error of a request to a target. */
export class HttpExchangeError extends Error {
  /** False only if the target is known to have received no byte. */
  readonly mayHaveRun: boolean;
  readonly code: ExchangeErrorCode;

  constructor(
    code: ExchangeErrorCode,
    message: string,
    mayHaveRun: boolean,
  ) {
    super(message);
    this.code = code;
    this.mayHaveRun = mayHaveRun;
  }
}

export interface IExchangeOptions {
  readonly clock: IClock;
  readonly agent: Agent;
  /** Time by which the headers of the response must have arrived. */
  readonly deadline: Deadline;
  /** Asked at the deadline for a later one; without one, the request fails. */
  readonly extendDeadline?: () => Promise<Deadline | undefined>;
  readonly signal: AbortSignal;
  /** Time by which a new connection must be open. */
  readonly connectDeadline?: Deadline;
  /** Whether to use a connection that no other request has used. */
  readonly freshConnection?: boolean;
  /** Called when a new connection has opened. */
  readonly onConnected?: () => void;
}

/**
 * Sends a request and resolves with the response once its headers arrived.
 *
 * Rejects with an `HttpExchangeError`. Nothing is sent after the deadline, so
 * that a process that was paused does not send a stale request on resuming.
 */
export async function exchange(
  message: IHttpRequest,
  options: IExchangeOptions,
): Promise<IncomingMessage> {
  if (options.signal.aborted) {
    throw new HttpExchangeError("cancelled", "request cancelled", false);
  }
  if (options.clock.isPast(options.deadline)) {
    throw new HttpExchangeError("timeout", "deadline has passed", false);
  }
  return await send(message, options);
}

function send(
  message: IHttpRequest,
  options: IExchangeOptions,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let connected = false;
    let incoming: IncomingMessage | undefined;
    const outgoing = createRequest(message, options);
    let isSettled = false;
    let timer: NodeJS.Timeout;
    const cleanUp = () => {
      isSettled = true;
      clearTimeout(timer);
      clearTimeout(connectTimer);
      outgoing.socket?.off("data", countBytes);
      options.signal.removeEventListener("abort", cancel);
    };
    const fail = (code: ExchangeErrorCode, reason: string) => {
      cleanUp();
      reject(new HttpExchangeError(code, reason, connected));
      outgoing.destroy();
    };
    const cancel = () => fail("cancelled", "request cancelled");
    let bytesBeforeHead = 0;
    const countBytes = (bytes: Buffer) => {
      bytesBeforeHead += bytes.length;
      if (isSettled || bytesBeforeHead <= MAXIMUM_BYTES_BEFORE_HEAD) return;
      fail("invalid", "the target sends bytes, but no head of an answer");
    };
    const waitUntil = (deadline: Deadline) => {
      const remaining = Math.ceil(options.clock.remaining(deadline));
      timer = setTimeout(() => {
        if (!options.extendDeadline) {
          return fail("timeout", "no response in time");
        }
        options.extendDeadline().then((later) => {
          if (isSettled) return;
          if (later === undefined) fail("timeout", "no response in time");
          else waitUntil(later);
        }, (error) => fail("timeout", (error as Error).message));
      }, remaining);
    };
    waitUntil(options.deadline);
    const connectTimer = options.connectDeadline === undefined
      ? undefined
      : setTimeout(
        () => connected || fail("timeout", "no connection in time"),
        Math.ceil(options.clock.remaining(options.connectDeadline)),
      );
    options.signal.addEventListener("abort", cancel, { once: true });
    outgoing.on("error", (error) => {
      if (!incoming) return fail("connection", error.message);
      // Excess bytes after a complete response also raise an error here; that
      // response stays readable. An incomplete response is destroyed, because
      // one without a length would otherwise seem to end normally.
      if (!incoming.complete) incoming.destroy(error);
    });
    outgoing.on("socket", (socket) => {
      if (socket.connecting) {
        socket.once("connect", () => {
          connected = true;
          options.onConnected?.();
        });
      } else {
        connected = true;
      }
      const checkReset = () => {
        if (incoming && !incoming.complete && isReset(socket)) {
          incoming.destroy(new Error("the connection was reset"));
        }
      };
      // Called after the parser.
      socket.on("data", countBytes);
      // Runs before the parser treats the end of the connection as the end of
      // the response.
      socket.prependOnceListener("end", checkReset);
      outgoing.once("close", () => socket.off("end", checkReset));
    });
    let interimAnswers = 0;
    outgoing.on("information", () => {
      interimAnswers += 1;
      if (interimAnswers <= MAXIMUM_INTERIM_ANSWERS) return;
      fail("invalid", `more than ${MAXIMUM_INTERIM_ANSWERS} interim answers`);
    });
    outgoing.on("upgrade", (_, socket) => {
      socket.destroy();
      fail("invalid", "the target switches to another protocol");
    });
    outgoing.on("response", (response) => {
      const { statusCode = 0 } = response;
      if (statusCode < MINIMUM_STATUS || statusCode > MAXIMUM_STATUS) {
        response.destroy();
        return fail("invalid", `${statusCode} is no status of an answer`);
      }
      incoming = response;
      cleanUp();
      response.on("error", () => {});
      resolve(response);
    });
    outgoing.on("close", () => {
      if (!isSettled) fail("connection", "closed without a response");
    });
    outgoing.end(message.body);
  });
}

/**
 * Creates a request.
 *
 * @throws HttpExchangeError if it cannot be sent, for example because the port
 * is out of range or a header contains characters that are not allowed.
 */
function createRequest(
  message: IHttpRequest,
  options: IExchangeOptions,
): ClientRequest {
  try {
    return request({
      agent: options.freshConnection ? false : options.agent,
      host: message.address,
      port: message.port,
      method: message.method,
      path: message.path,
      headers: message.headers as OutgoingHttpHeaders,
    });
  } catch (error) {
    const reason = (error as Error).message;
    throw new HttpExchangeError("connection", reason, false);
  }
}

/**
 * Whether a connection that has ended was reset. A reset that arrives with the
 * last bytes is reported as an end, but the remote address is then undefined.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/** Longest body that `readBody` accepts. */
const MAXIMUM_BODY_BYTES = 1024 * 1024;

/**
 * Reads a whole response body.
 *
 * @throws HttpExchangeError if it is too long, incomplete or late.
 */
export async function readBody(
  response: IncomingMessage,
  options: { clock: IClock; deadline: Deadline },
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let length = 0;
  const timer = setTimeout(
    () => response.destroy(new Error("body did not arrive in time")),
    Math.ceil(options.clock.remaining(options.deadline)),
  );
  try {
    for await (const part of response) {
      length += (part as Buffer).length;
      if (length > MAXIMUM_BODY_BYTES) throw new Error("body too long");
      parts.push(part as Buffer);
    }
  } catch (error) {
    throw new HttpExchangeError("connection", String(error), true);
  } finally {
    clearTimeout(timer);
  }
  return Buffer.concat(parts);
}
