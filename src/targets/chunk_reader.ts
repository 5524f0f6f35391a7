import type { IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { z } from "zod";
import {
  type Deadline,
  earlierDeadline,
  type Failure,
  type IClock,
  type IDisposable,
  mayHaveRun,
} from "../common/mod.ts";
import { GenerationError } from "./generation_error.ts";
import { SseReader } from "./sse_reader.ts";
import type { GenerationChunk, IGenerateOptions } from "./types.ts";

/** Queued chunks above which reading pauses for a slow consumer. */
const MAXIMUM_QUEUED_CHUNKS = 64;

/** Time in which the rest of a response must arrive after the last chunk. */
const DRAIN_TIMEOUT_MILLISECONDS = 2_000;

const eventSchema = z.object({
  choices: z.array(z.object({
    text: z.string().optional(),
    delta: z.object({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish(),
  })).optional(),
  error: z.object({ message: z.string() }).optional(),
});

/** Reads the chunks of a streamed response. */
export class ChunkReader implements IDisposable {
  #response: IncomingMessage;
  #options: IGenerateOptions;
  #clock: IClock;
  #sseReader = new SseReader();
  #decoder = new StringDecoder("utf8");
  #queue: GenerationChunk[] = [];
  #wake: (() => void) | undefined;
  #failure: Failure | undefined;
  #hasStarted = false;
  #hasFinished = false;
  #waitUntil: Deadline | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    response: IncomingMessage,
    options: IGenerateOptions,
    clock: IClock,
  ) {
    this.#response = response;
    this.#options = options;
    this.#clock = clock;
    response.on("data", this.#onData);
    response.once("end", this.#onClose);
    response.once("close", this.#onClose);
    options.signal.addEventListener("abort", this.#onAbort, { once: true });
    if (options.signal.aborted) this.#onAbort();
  }

  /**
   * Resolves with the next chunk.
   *
   * @throws GenerationError if the stream fails, exceeds a time limit or is
   * cancelled.
   */
  async next(): Promise<GenerationChunk> {
    for (;;) {
      const chunk = this.#queue.shift();
      if (chunk) return this.#deliver(chunk);
      if (this.#failure) throw new GenerationError(this.#failure);
      await this.#waitForChunk();
    }
  }

  /** Releases the response; cancels the stream unless it has ended. */
  dispose(): void {
    clearTimeout(this.#timer);
    this.#options.signal.removeEventListener("abort", this.#onAbort);
    this.#response.off("data", this.#onData);
    if (this.#hasFinished) this.#drainResponse();
    else this.#response.destroy();
  }

  #deliver(chunk: GenerationChunk): GenerationChunk {
    this.#hasStarted = true;
    if (chunk.kind === "end") this.#hasFinished = true;
    if (this.#response.isPaused() && this.#queue.length === 0) {
      this.#response.resume();
    }
    return chunk;
  }

  #onData = (bytes: Uint8Array): void => {
    try {
      for (const data of this.#sseReader.push(this.#decoder.write(bytes))) {
        if (data !== "[DONE]") this.#handleEvent(data);
      }
    } catch (error) {
      this.#fail(mayHaveRun("target-error", `invalid event: ${error}`));
    }
    if (this.#queue.length > MAXIMUM_QUEUED_CHUNKS) this.#response.pause();
    this.#wake?.();
  };

  #handleEvent(data: string): void {
    const event = eventSchema.parse(JSON.parse(data));
    if (event.error) {
      this.#fail(mayHaveRun("target-error", event.error.message));
      return;
    }
    const choice = event.choices?.[0];
    if (!choice) return;
    const text = choice.text ?? choice.delta?.content ?? "";
    if (text !== "") this.#queue.push({ kind: "tokens", text, tokens: 1 });
    const finishReason = choice.finish_reason;
    if (finishReason) this.#queue.push({ kind: "end", finishReason });
  }

  #onClose = (): void => {
    this.#fail(
      mayHaveRun("target-error", "stream ended before its last chunk"),
    );
  };

  #onAbort = (): void => {
    // The consumer no longer needs the queued chunks.
    this.#queue = [];
    this.#fail(mayHaveRun("cancelled", "stream cancelled"));
    this.#response.destroy();
  };

  #fail(failure: Failure): void {
    this.#failure ??= failure;
    this.#wake?.();
  }

  async #waitForChunk(): Promise<void> {
    this.#waitUntil = this.#nextDeadline();
    if (this.#timer === undefined) this.#startTimer(this.#waitUntil);
    await new Promise<void>((resolve) => this.#wake = resolve);
    this.#wake = undefined;
    this.#waitUntil = undefined;
  }

  #nextDeadline(): Deadline {
    const { firstTokenDeadline, silenceMilliseconds } = this.#options;
    const chunkDeadline = !this.#hasStarted && firstTokenDeadline !== undefined
      ? firstTokenDeadline
      : this.#clock.deadlineIn(silenceMilliseconds);
    return earlierDeadline(chunkDeadline, this.#options.deadline);
  }

  /** Uses one timer for the whole stream; a reset for each token costs more. */
  #startTimer(deadline: Deadline): void {
    this.#timer = setTimeout(
      this.#onTimer,
      Math.ceil(this.#clock.remaining(deadline)),
    );
  }

  #onTimer = (): void => {
    const waitUntil = this.#waitUntil;
    if (waitUntil === undefined) {
      this.#startTimer(this.#nextDeadline());
    } else if (this.#clock.isPast(waitUntil)) {
      this.#fail(this.#timeoutFailure());
      this.#response.destroy();
    } else {
      this.#startTimer(waitUntil);
    }
  };

  #timeoutFailure(): Failure {
    if (this.#clock.isPast(this.#options.deadline)) {
      return mayHaveRun("deadline-exceeded", "deadline exceeded");
    }
    const reason = this.#hasStarted
      ? "no chunk in time"
      : "no first token in time";
    return mayHaveRun("deadline-exceeded", reason);
  }

  /** Reads the rest of the response, so that the connection can be reused. */
  #drainResponse(): void {
    const response = this.#response;
    if (response.readableEnded || response.destroyed) return;
    const timer = setTimeout(
      () => response.destroy(),
      DRAIN_TIMEOUT_MILLISECONDS,
    );
    response.once("close", () => clearTimeout(timer));
    response.resume();
  }
}
