import type { IncomingMessage, ServerResponse } from "node:http";
import type { IDisposable } from "../common/mod.ts";
import type { CallerRecord, IConfigurationView } from "../configuration/mod.ts";

/** A request from an authenticated caller. */
export interface ICallerRequest {
  /** Request ID, sent in the response header, for `figroad explain`. */
  readonly id: string;
  readonly caller: CallerRecord;
  readonly configuration: IConfigurationView;
  readonly url: URL;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborted if the caller disconnects before the response is complete. */
  readonly signal: AbortSignal;
}

/** Endpoint of the HTTP server for callers. */
export interface IEndpoint {
  /** Whether this endpoint handles the method and path. */
  matches(method: string, path: string): boolean;
  handle(request: ICallerRequest): Promise<void>;
}

/** HTTP server for callers. */
export interface ICallersServer extends IDisposable {
  listen(address: string, port: number): Promise<number>;
  /** Number of requests in progress. */
  readonly activeRequests: number;
  /** Refuses new requests and waits until those in progress have ended. */
  drain(): Promise<void>;
}
