import type { IncomingMessage, ServerResponse } from "node:http";
import type { IDisposable } from "../common/mod.ts";
import type { CallerRecord, IConfigurationView } from "../configuration/mod.ts";

/** A request of an authenticated caller. */
export interface ICallerRequest {
  /** Identifier that the response carries, for `figroad explain`. */
  readonly id: string;
  readonly caller: CallerRecord;
  readonly configuration: IConfigurationView;
  readonly url: URL;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborted when the caller hangs up before the answer is complete. */
  readonly signal: AbortSignal;
}

/** Endpoint of the callers' edge. */
export interface IEndpoint {
  /** Whether this endpoint answers the method and path. */
  matches(method: string, path: string): boolean;
  handle(request: ICallerRequest): Promise<void>;
}

/** The callers' HTTP edge. */
export interface ICallersServer extends IDisposable {
  listen(address: string, port: number): Promise<number>;
  /** Requests being answered. */
  readonly activeRequests: number;
  /** Refuses new requests and waits until none is being answered. */
  drain(): Promise<void>;
}
