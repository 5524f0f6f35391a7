import type { IncomingMessage, ServerResponse } from "node:http";

/** A request of an operator or a probe of the load balancer. */
export interface IOperatorRequest {
  readonly url: URL;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/** Route of the HTTP server for operators. */
export interface IOperatorRoute {
  readonly method: "GET" | "POST";
  readonly path: RegExp;
  handle(request: IOperatorRequest): Promise<void>;
}
