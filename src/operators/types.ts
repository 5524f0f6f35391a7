import type { IncomingMessage, ServerResponse } from "node:http";

/** A request of an operator or a probe of the balancer. */
export interface IOperatorRequest {
  readonly url: URL;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/** Route of the operators' edge. */
export interface IOperatorRoute {
  readonly method: "GET" | "POST";
  readonly path: RegExp;
  handle(request: IOperatorRequest): Promise<void>;
}
