import type { IClock } from "../common/mod.ts";
import type { IDispatcher } from "../dispatch/mod.ts";
import { type GenerationChunk, GenerationError } from "../targets/mod.ts";
import {
  generationBodySchema,
  type IGenerationRequest,
  openGeneration,
} from "./generation_request.ts";
import { readJsonBody } from "./read_body.ts";
import { errorBody, sendFailure, sendJson } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

const PATHS = ["/v1/chat/completions", "/v1/completions"];

/** Live generations, streamed or whole. */
export class GenerationEndpoint implements IEndpoint {
  #dispatcher: IDispatcher;
  #clock: IClock;

  constructor(dispatcher: IDispatcher, clock: IClock) {
    this.#dispatcher = dispatcher;
    this.#clock = clock;
  }

  matches(method: string, path: string): boolean {
    return method === "POST" && PATHS.includes(path);
  }

  async handle(request: ICallerRequest): Promise<void> {
    const body = await readJsonBody(request.message, generationBodySchema);
    if (body.isErr()) return sendFailure(request.response, body.error);
    const clock = this.#clock;
    const opened = openGeneration(request, body.value, { clock });
    if (opened.isErr()) return sendFailure(request.response, opened.error);
    const live = opened.value;
    const chunks = this.#dispatcher.run({
      id: request.id,
      caller: request.caller.name,
      service: live.grant.service.name,
      kind: "live",
      generation: live.generation,
      idempotent: live.idempotent,
      deadline: live.deadline,
      signal: request.signal,
    });
    try {
      if (live.stream) await sendStream(request, live, chunks);
      else await sendWhole(request, live, chunks);
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      endWithFailure(request, error);
    }
  }
}

async function sendStream(
  request: ICallerRequest,
  live: IGenerationRequest,
  chunks: AsyncIterable<GenerationChunk>,
): Promise<void> {
  const { response } = request;
  for await (const chunk of chunks) {
    if (!response.headersSent) {
      response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
      });
    }
    const data = JSON.stringify(streamChunk(request, live, chunk));
    if (!response.write(`data: ${data}\n\n`)) await drained(request);
  }
  response.end("data: [DONE]\n\n");
}

async function sendWhole(
  request: ICallerRequest,
  live: IGenerationRequest,
  chunks: AsyncIterable<GenerationChunk>,
): Promise<void> {
  let text = "";
  let tokens = 0;
  let finishReason = "stop";
  for await (const chunk of chunks) {
    if (chunk.kind === "tokens") {
      text += chunk.text;
      tokens += chunk.tokens;
    } else {
      finishReason = chunk.finishReason;
    }
  }
  const chat = live.generation.endpoint === "/v1/chat/completions";
  const content = chat
    ? { message: { role: "assistant", content: text } }
    : { text };
  sendJson(request.response, 200, {
    ...envelope(request, live, chat ? "chat.completion" : "text_completion"),
    choices: [{ index: 0, ...content, finish_reason: finishReason }],
    usage: {
      prompt_tokens: 0,
      completion_tokens: tokens,
      total_tokens: tokens,
    },
  });
}

function streamChunk(
  request: ICallerRequest,
  live: IGenerationRequest,
  chunk: GenerationChunk,
): object {
  const chat = live.generation.endpoint === "/v1/chat/completions";
  const text = chunk.kind === "tokens" ? chunk.text : "";
  const finishReason = chunk.kind === "end" ? chunk.finishReason : null;
  const delta = chunk.kind === "tokens" ? { content: text } : {};
  const content = chat ? { delta } : { text };
  return {
    ...envelope(
      request,
      live,
      chat ? "chat.completion.chunk" : "text_completion",
    ),
    choices: [{ index: 0, ...content, finish_reason: finishReason }],
  };
}

function envelope(
  request: ICallerRequest,
  live: IGenerationRequest,
  object: string,
): object {
  const created = Math.floor(Date.now() / 1_000);
  return { id: request.id, object, created, model: live.generation.model };
}

/** Waits until a slow caller has taken what was written. */
function drained(request: ICallerRequest): Promise<void> {
  return new Promise((resolve) => {
    request.response.once("drain", resolve);
    request.signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

/** After the stream has begun, the failure is its last event. */
function endWithFailure(request: ICallerRequest, error: GenerationError): void {
  const { response } = request;
  if (!response.headersSent) return sendFailure(response, error.failure);
  response.end(`data: ${JSON.stringify(errorBody(error.failure))}\n\n`);
}
