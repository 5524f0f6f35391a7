import type { OutgoingHttpHeaders } from "node:http";
import type { IAdmission } from "../admission/mod.ts";
import {
  type Deadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { PlainService } from "../configuration/mod.ts";
import type { IPlainDispatcher } from "../dispatch/mod.ts";
import type { IOperationLedger } from "../operations/mod.ts";
import {
  GenerationError,
  type IHeaders,
  type IPlainResponse,
} from "../targets/mod.ts";
import { breakOff } from "../edge/mod.ts";
import {
  IDEMPOTENCY_KEY_HEADER,
  openOperation,
  sendReplay,
} from "./operation_session.ts";
import type { OperationSession } from "./operation_session.ts";
import { readRequestBody } from "./read_body.ts";
import { sendFailure } from "./respond.ts";
import { ResponseWriter } from "./response_writer.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

const PLAIN_PATH = /^\/plain\/([^/]+)(\/.*)?$/;

/** Hop-by-hop headers, `Host`, and the caller's API key for figroad. */
const DROPPED_HEADERS = new Set([
  "authorization",
  "connection",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Content type of a response that has none. */
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Options of the endpoint for plain services. */
export interface IPlainEndpointOptions {
  readonly clock: IClock;
  readonly admission: IAdmission;
  readonly operations: IOperationLedger;
}

/** A request as it is forwarded to a plain service. */
interface IForwardedRequest {
  readonly service: PlainService;
  readonly path: string;
  readonly body: Uint8Array;
  readonly deadline: Deadline;
}

/** Endpoint that forwards requests to plain services. */
export class PlainEndpoint implements IEndpoint {
  #dispatcher: IPlainDispatcher;
  #options: IPlainEndpointOptions;

  constructor(dispatcher: IPlainDispatcher, options: IPlainEndpointOptions) {
    this.#dispatcher = dispatcher;
    this.#options = options;
  }

  matches(_method: string, path: string): boolean {
    return PLAIN_PATH.test(path);
  }

  async handle(request: ICallerRequest): Promise<void> {
    const [, name, path] = PLAIN_PATH.exec(request.url.pathname) ?? [];
    const { configuration, caller, response } = request;
    const service = configuration.plainService(caller.name, name ?? "");
    if (!service) {
      return sendFailure(response, notRun("not-found", `no service ${name}`));
    }
    const body = await readRequestBody(request.message);
    if (body.isErr()) return sendFailure(response, body.error);
    const ticket = await this.#options.admission.admitCaller(caller);
    if (ticket.isErr()) return sendFailure(response, ticket.error);
    const { clock } = this.#options;
    try {
      await this.#serve(request, {
        service,
        path: (path ?? "/") + request.url.search,
        body: body.value,
        deadline: clock.deadlineIn(service.timeoutMilliseconds),
      });
    } finally {
      ticket.value.dispose();
    }
  }

  async #serve(
    request: ICallerRequest,
    forwarded: IForwardedRequest,
  ): Promise<void> {
    const hasKey =
      request.message.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
    if (forwarded.service.idempotent && !hasKey) {
      return await this.#forward(request, forwarded);
    }
    const opened = await openOperation(request, {
      ledger: this.#options.operations,
      clock: this.#options.clock,
      deadline: forwarded.deadline,
      body: forwarded.body,
    });
    if (opened.isErr()) return sendFailure(request.response, opened.error);
    if (opened.value.kind === "replay") {
      return sendReplay(request, opened.value.answer);
    }
    await this.#forward(request, forwarded, opened.value.session);
  }

  async #forward(
    request: ICallerRequest,
    forwarded: IForwardedRequest,
    session?: OperationSession,
  ): Promise<void> {
    const writer = new ResponseWriter(request.response, {
      clock: this.#options.clock,
      deadline: forwarded.deadline,
      capture: session?.capture,
    });
    const response = await this.#call(request, forwarded, session);
    if (response.isErr()) {
      await session?.recordFailure(response.error);
      return writer.endWithFailure(response.error);
    }
    try {
      await writeResponse(response.value, writer);
      await session?.finish("");
      writer.end("");
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      await session?.recordFailure(error.failure);
      abortResponse(request, error.failure);
    }
  }

  #call(
    request: ICallerRequest,
    forwarded: IForwardedRequest,
    session: OperationSession | undefined,
  ) {
    const { service, path, body, deadline } = forwarded;
    return this.#dispatcher.call({
      id: request.id,
      service,
      deadline,
      signal: session?.signal ?? request.signal,
    }, {
      method: request.message.method ?? "GET",
      path,
      headers: forwardableHeaders(request.message.headers) as IHeaders,
      body,
    });
  }
}

async function writeResponse(
  response: IPlainResponse,
  writer: ResponseWriter,
): Promise<void> {
  const headers = forwardableHeaders(response.headers);
  const type = String(headers["content-type"] ?? DEFAULT_CONTENT_TYPE);
  writer.writeHead(response.status, type, headers);
  for await (const part of response.body) await writer.write(part);
}

/**
 * Sends the failure or, if the response has begun, closes the connection, so
 * that a truncated response does not look complete.
 */
function abortResponse(request: ICallerRequest, failure: Failure): void {
  sendFailure(request.response, failure);
  if (!request.response.writableEnded) breakOff(request.response);
}

function forwardableHeaders(headers: IHeaders): OutgoingHttpHeaders {
  const connectionHeader = String(headers["connection"] ?? "").toLowerCase();
  const connectionOptions = new Set(
    connectionHeader.split(",").map((name) => name.trim()),
  );
  const forwardable = Object.entries(headers).filter(([name]) =>
    !DROPPED_HEADERS.has(name) && !connectionOptions.has(name)
  );
  return Object.fromEntries(forwardable) as OutgoingHttpHeaders;
}
