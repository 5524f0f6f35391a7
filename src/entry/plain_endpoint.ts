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
import { AnswerWriter } from "./answer_writer.ts";
import {
  IDEMPOTENCY_KEY_HEADER,
  openOperation,
  sendReplay,
} from "./operation_session.ts";
import type { OperationSession } from "./operation_session.ts";
import { readRequestBody } from "./read_body.ts";
import { sendFailure } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

const PLAIN_PATH = /^\/plain\/([^/]+)(\/.*)?$/;

/** Headers of one connection, and the caller's key to figroad. */
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

/** Content type of an answer that names none. */
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Collaborators of the endpoint for plain services. */
export interface IPlainEndpointOptions {
  readonly clock: IClock;
  readonly admission: IAdmission;
  readonly operations: IOperationLedger;
}

interface IPassing {
  readonly service: PlainService;
  readonly path: string;
  readonly body: Uint8Array;
  readonly deadline: Deadline;
}

/** Passes requests through to plain services. */
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

  async #serve(request: ICallerRequest, passing: IPassing): Promise<void> {
    const hasKey =
      request.message.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
    if (passing.service.idempotent && !hasKey) {
      return await this.#pass(request, passing);
    }
    const opened = await openOperation(request, {
      ledger: this.#options.operations,
      clock: this.#options.clock,
      deadline: passing.deadline,
      body: passing.body,
    });
    if (opened.isErr()) return sendFailure(request.response, opened.error);
    if (opened.value.kind === "replay") {
      return sendReplay(request, opened.value.answer);
    }
    await this.#pass(request, passing, opened.value.session);
  }

  async #pass(
    request: ICallerRequest,
    passing: IPassing,
    session?: OperationSession,
  ): Promise<void> {
    const writer = new AnswerWriter(request.response, {
      clock: this.#options.clock,
      deadline: passing.deadline,
      copy: session?.copy,
    });
    const answer = await this.#call(request, passing, session);
    if (answer.isErr()) {
      await session?.fail(answer.error);
      return writer.fail(answer.error);
    }
    try {
      await copyAnswer(answer.value, writer);
      await session?.finish("");
      writer.end("");
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      await session?.fail(error.failure);
      breakOff(request, error.failure);
    }
  }

  #call(
    request: ICallerRequest,
    passing: IPassing,
    session: OperationSession | undefined,
  ) {
    const { service, path, body, deadline } = passing;
    return this.#dispatcher.call({
      id: request.id,
      service,
      deadline,
      signal: session?.signal ?? request.signal,
    }, {
      method: request.message.method ?? "GET",
      path,
      headers: passedHeaders(request.message.headers) as IHeaders,
      body,
    });
  }
}

async function copyAnswer(
  answer: IPlainResponse,
  writer: AnswerWriter,
): Promise<void> {
  const headers = passedHeaders(answer.headers);
  const type = String(headers["content-type"] ?? DEFAULT_CONTENT_TYPE);
  writer.begin(answer.status, type, headers);
  for await (const part of answer.body) await writer.write(part);
}

/** An answer cut short must not look whole, so its connection is closed. */
function breakOff(request: ICallerRequest, failure: Failure): void {
  sendFailure(request.response, failure);
  if (!request.response.writableEnded) request.response.destroy();
}

function passedHeaders(headers: IHeaders): OutgoingHttpHeaders {
  const named = String(headers["connection"] ?? "").toLowerCase();
  const dropped = new Set(named.split(",").map((name) => name.trim()));
  const passed = Object.entries(headers).filter(([name]) =>
    !DROPPED_HEADERS.has(name) && !dropped.has(name)
  );
  return Object.fromEntries(passed) as OutgoingHttpHeaders;
}
