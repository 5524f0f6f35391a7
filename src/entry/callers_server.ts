import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type Failure,
  type IDisposable,
  listen,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IServingPermission } from "../membership/mod.ts";
import { breakOff } from "../edge/mod.ts";
import { requestCrashed } from "./events.ts";
import { sendFailure } from "./respond.ts";
import type { ICallerRequest, ICallersServer, IEndpoint } from "./types.ts";

/** Base URL for parsing request targets, which contain only a path. */
const BASE_URL = "http://figroad";

/** Response header with the ID of the request. */
const REQUEST_ID_HEADER = "x-request-id";

/** `Retry-After` while the instance stops or cannot serve yet, in seconds. */
const UNAVAILABLE_RETRY_AFTER_SECONDS = 1;

/** Timeout for receiving the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MILLISECONDS = 10_000;

/** Timeout for receiving a whole request, including files, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 300_000;

/** Interval between checks for requests that timed out, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 2_000;

/**
 * Time that a request may take to arrive on a connection that was accepted
 * before the listener closed.
 */
const ARRIVAL_MILLISECONDS = 500;

/** Maximum number of concurrent requests. */
const MAXIMUM_ACTIVE_REQUESTS = 4_096;

/** `Retry-After` if there are too many concurrent requests, in seconds. */
const OVERLOAD_RETRY_AFTER_SECONDS = 1;

/** HTTP server that authenticates callers and routes requests to endpoints. */
export class CallersServer implements ICallersServer, IDisposable {
  #configuration: IConfigurationSource;
  #endpoints: readonly IEndpoint[];
  #events: IEventLog;
  #permission: IServingPermission;
  #server: Server;
  #activeRequests = 0;
  #openConnections = 0;
  #isDraining = false;
  #onIdle: (() => void) | undefined;

  constructor(
    configuration: IConfigurationSource,
    endpoints: readonly IEndpoint[],
    options: { events: IEventLog; permission: IServingPermission },
  ) {
    this.#configuration = configuration;
    this.#endpoints = endpoints;
    this.#events = options.events;
    this.#permission = options.permission;
    this.#server = createServer({
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
    }, (message, response) => void this.#trackRequest(message, response));
    this.#server.on("connection", (socket) => {
      this.#openConnections += 1;
      socket.once("close", () => this.#openConnections -= 1);
    });
  }

  get activeRequests(): number {
    return this.#activeRequests;
  }

  listen(address: string, port: number): Promise<number> {
    return listen(this.#server, address, { port });
  }

  async drain(): Promise<void> {
    this.#isDraining = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#openConnections > 0) await sleep(ARRIVAL_MILLISECONDS);
    if (this.#activeRequests === 0) return;
    await new Promise<void>((resolve) => this.#onIdle = resolve);
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Counts a request until its response is closed and its handler is done. A
   * non-idempotent request continues after its caller has disconnected.
   */
  async #trackRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#activeRequests += 1;
    const closed = new Promise<void>((resolve) =>
      response.once("close", resolve)
    );
    if (this.#isDraining) response.setHeader("connection", "close");
    await this.#serve(message, response);
    await closed;
    this.#activeRequests -= 1;
    if (this.#activeRequests === 0) this.#onIdle?.();
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const id = `req-${randomUUID()}`;
    response.setHeader(REQUEST_ID_HEADER, id);
    const accepted = this.#acceptRequest(id, message, response);
    if (accepted.isErr()) {
      message.resume();
      return sendFailure(response, accepted.error);
    }
    const { request, endpoint } = accepted.value;
    try {
      await endpoint.handle(request);
    } catch (error) {
      if (request.signal.aborted) return;
      this.#events.emit(requestCrashed, { request: id, error: String(error) });
      sendFailure(response, mayHaveRun("internal", "internal error"));
      if (!response.writableEnded) breakOff(response);
    }
  }

  #acceptRequest(
    id: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Result<{ request: ICallerRequest; endpoint: IEndpoint }, Failure> {
    if (this.#isDraining) {
      return err(notRun("unavailable", "this instance is stopping", {
        retryAfterSeconds: UNAVAILABLE_RETRY_AFTER_SECONDS,
      }));
    }
    if (this.#activeRequests > MAXIMUM_ACTIVE_REQUESTS) {
      return err(
        notRun("overloaded", "too many concurrent requests at this instance", {
          retryAfterSeconds: OVERLOAD_RETRY_AFTER_SECONDS,
        }),
      );
    }
    const configuration = this.#configuration.current;
    if (!configuration) {
      return err(notRun("unavailable", "no configuration is in force yet", {
        retryAfterSeconds: UNAVAILABLE_RETRY_AFTER_SECONDS,
      }));
    }
    if (!this.#permission.mayServe) {
      return err(notRun("unavailable", this.#permission.reason, {
        retryAfterSeconds: UNAVAILABLE_RETRY_AFTER_SECONDS,
      }));
    }
    const key = /^Bearer (.+)$/.exec(message.headers.authorization ?? "")?.[1];
    const caller = key === undefined
      ? undefined
      : configuration.callerByKey(key);
    if (!caller) {
      return err(notRun("unauthorized", "missing or invalid API key"));
    }
    const target = message.url ?? "/";
    if (!URL.canParse(target, BASE_URL)) {
      return err(notRun("bad-request", "request target is not a valid URL"));
    }
    const url = new URL(target, BASE_URL);
    const endpoint = this.#endpoints.find((endpoint) =>
      endpoint.matches(message.method ?? "GET", url.pathname)
    );
    if (!endpoint) {
      return err(notRun("not-found", `no endpoint at ${url.pathname}`));
    }
    const abort = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) abort.abort();
    });
    const { signal } = abort;
    const fields = { id, caller, configuration, url, message, response };
    return ok({ request: { ...fields, signal }, endpoint });
  }
}
