import type { GenerationChunk } from "../targets/mod.ts";
import type { IGenerationRequest } from "./generation_request.ts";

/** Formats one response in the format of the OpenAI API. */
export class GenerationFormatter {
  #chat: boolean;
  #envelope: object;
  /** Constant text before and after the content of each chunk. */
  #prefix: string;
  #suffix: string;

  constructor(requestId: string, request: IGenerationRequest) {
    this.#chat = request.generation.endpoint === "/v1/chat/completions";
    this.#envelope = {
      id: requestId,
      created: Math.floor(Date.now() / 1_000),
      model: request.generation.model,
    };
    const object = this.#chat ? "chat.completion.chunk" : "text_completion";
    const head = JSON.stringify({ ...this.#envelope, object }).slice(0, -1);
    const field = this.#chat ? `"delta":{"content":` : `"text":`;
    this.#prefix = `data: ${head},"choices":[{"index":0,${field}`;
    this.#suffix = `${this.#chat ? "}" : ""},"finish_reason":null}]}\n\n`;
  }

  /** Formats a chunk as a server-sent event. */
  formatEvent(chunk: GenerationChunk): string {
    if (chunk.kind === "tokens") {
      // This runs for every token. Serializing the envelope each time would
      // cost more than all other work on the token.
      return this.#prefix + JSON.stringify(chunk.text) + this.#suffix;
    }
    const content = this.#chat ? { delta: {} } : { text: "" };
    const choice = { index: 0, ...content, finish_reason: chunk.finishReason };
    const object = this.#chat ? "chat.completion.chunk" : "text_completion";
    const data = { ...this.#envelope, object, choices: [choice] };
    return `data: ${JSON.stringify(data)}\n\n`;
  }

  /** Formats a response that is not streamed, from all of its chunks. */
  async formatResponse(
    chunks: AsyncIterable<GenerationChunk>,
  ): Promise<string> {
    const parts: string[] = [];
    let tokens = 0;
    let finishReason = "stop";
    for await (const chunk of chunks) {
      if (chunk.kind === "tokens") {
        parts.push(chunk.text);
        tokens += chunk.tokens;
      } else {
        finishReason = chunk.finishReason;
      }
    }
    const text = parts.join("");
    const content = this.#chat
      ? { message: { role: "assistant", content: text } }
      : { text };
    return JSON.stringify({
      ...this.#envelope,
      object: this.#chat ? "chat.completion" : "text_completion",
      choices: [{ index: 0, ...content, finish_reason: finishReason }],
      usage: {
        prompt_tokens: 0,
        completion_tokens: tokens,
        total_tokens: tokens,
      },
    });
  }
}
