import type { IAdmission } from "../admission/mod.ts";
import type { IClock } from "../common/mod.ts";
import type { IDispatcher } from "../dispatch/mod.ts";
import type { IOperationLedger } from "../operations/mod.ts";
import { GenerationError } from "../targets/mod.ts";
import { GenerationFormatter } from "./generation_formatter.ts";
import {
  generationBodySchema,
  type IGenerationRequest,
  parseGenerationRequest,
} from "./generation_request.ts";
import type { LiveRecord, LiveRecorder } from "./live_recorder.ts";
import {
  openOperation,
  type OperationSession,
  sendReplay,
} from "./operation_session.ts";
import { parseJsonBody, readRequestBody } from "./read_body.ts";
import { sendFailure } from "./respond.ts";
import { ResponseWriter } from "./response_writer.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

const PATHS = ["/v1/chat/completions", "/v1/completions"];

const STREAM_HEADERS = { "cache-control": "no-cache" };

/** Options of the endpoint for live generations. */
export interface IGenerationEndpointOptions {
  readonly clock: IClock;
  readonly admission: IAdmission;
  readonly operations: IOperationLedger;
  readonly recorder: LiveRecorder;
}

/** State of a request that is being handled. */
interface IGenerationContext {
  readonly request: ICallerRequest;
  readonly live: IGenerationRequest;
  readonly record: LiveRecord;
  /** Present for non-idempotent requests. */
  readonly session: OperationSession | undefined;
  readonly writer: ResponseWriter;
}

/** Endpoint for live generations, with or without streaming. */
export class GenerationEndpoint implements IEndpoint {
  #dispatcher: IDispatcher;
  #options: IGenerationEndpointOptions;

  constructor(dispatcher: IDispatcher, options: IGenerationEndpointOptions) {
    this.#dispatcher = dispatcher;
    this.#options = options;
  }

  matches(method: string, path: string): boolean {
    return method === "POST" && PATHS.includes(path);
  }

  async handle(request: ICallerRequest): Promise<void> {
    const bytes = await readRequestBody(request.message);
    if (bytes.isErr()) return sendFailure(request.response, bytes.error);
    const { clock } = this.#options;
    const parsed = parseJsonBody(bytes.value, generationBodySchema)
      .andThen((body) => parseGenerationRequest(request, body, { clock }));
    if (parsed.isErr()) return sendFailure(request.response, parsed.error);
    const live = parsed.value;
    const record = this.#options.recorder.begin(request, live);
    const ticket = await this.#admit(request, live);
    if (ticket.isErr()) {
      record.finish(ticket.error);
      return sendFailure(request.response, ticket.error);
    }
    try {
      await this.#serve(request, { live, record, body: bytes.value });
    } finally {
      ticket.value.dispose();
    }
  }

  #admit(request: ICallerRequest, live: IGenerationRequest) {
    return this.#options.admission.admit({
      caller: request.caller,
      grant: live.grant,
      deadline: live.deadline,
      maximumTokens: live.maximumTokens,
    });
  }

  async #serve(
    request: ICallerRequest,
    options: { live: IGenerationRequest; record: LiveRecord; body: Uint8Array },
  ): Promise<void> {
    const { live, record, body } = options;
    if (live.idempotent) return await this.#respond({ request, live, record });
    const opened = await openOperation(request, {
      ledger: this.#options.operations,
      clock: this.#options.clock,
      deadline: live.deadline,
      body,
    });
    if (opened.isErr()) {
      record.finish(opened.error);
      return sendFailure(request.response, opened.error);
    }
    if (opened.value.kind === "replay") {
      return sendReplay(request, opened.value.answer);
    }
    const { session } = opened.value;
    await this.#respond({ request, live, record, session });
  }

  async #respond(
    context: Omit<IGenerationContext, "writer" | "session"> & {
      session?: OperationSession;
    },
  ): Promise<void> {
    const { request, live, record, session } = context;
    const writer = new ResponseWriter(request.response, {
      clock: this.#options.clock,
      deadline: live.deadline,
      capture: session?.capture,
    });
    try {
      const finalPart = await this.#writeResponse({
        ...context,
        session,
        writer,
      });
      await session?.finish(finalPart);
      writer.end(finalPart);
      record.finish();
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      await session?.recordFailure(error.failure);
      writer.endWithFailure(error.failure);
      record.finish(error.failure);
    }
  }

  /** Writes the response except its final part, and returns that part. */
  async #writeResponse(context: IGenerationContext): Promise<string> {
    const { request, live, writer, record } = context;
    const formatter = new GenerationFormatter(request.id, live);
    const chunks = this.#startGeneration(context);
    if (!live.stream) {
      const responseBody = await formatter.formatResponse(chunks);
      writer.writeHead(200, "application/json");
      return responseBody;
    }
    for await (const chunk of chunks) {
      if (chunk.kind === "tokens") record.timing.recordTokens(chunk.tokens);
      writer.writeHead(200, "text/event-stream", STREAM_HEADERS);
      await writer.write(formatter.formatEvent(chunk));
    }
    return "data: [DONE]\n\n";
  }

  #startGeneration({ request, live, record, session }: IGenerationContext) {
    return this.#dispatcher.run({
      id: request.id,
      caller: request.caller.name,
      service: live.grant.service.name,
      kind: "live",
      generation: live.generation,
      idempotent: live.idempotent,
      deadline: live.deadline,
      signal: session?.signal ?? request.signal,
      onAttempt: (engine) => record.engine = engine,
    });
  }
}
