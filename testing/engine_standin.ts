import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { PrefixCache } from "./prefix_cache.ts";

/** Options of a stand-in engine. */
export interface IEngineStandinOptions {
  maximumStreams: number;
  /** Duration of a decoding step without streams. */
  stepMilliseconds: number;
  /** Time that each running stream adds to a decoding step. */
  perStreamMilliseconds: number;
  /** Time that each prefilled word adds to a decoding step. */
  perPrefillWordMilliseconds: number;
  cacheBlocks: number;
  /** Age of the load values in a load report. */
  loadLagMilliseconds: number;
  checksFencing: boolean;
}

const DEFAULT_OPTIONS: IEngineStandinOptions = {
  maximumStreams: 32,
  stepMilliseconds: 5,
  perStreamMilliseconds: 0.1,
  perPrefillWordMilliseconds: 0.02,
  cacheBlocks: 512,
  loadLagMilliseconds: 200,
  checksFencing: true,
};

interface IStream {
  response: ServerResponse;
  prompt: string;
  words: string[];
  nextToken: number;
  maximumTokens: number;
  isChat: boolean;
  isMuted: boolean;
}

interface ILoadSample {
  at: number;
  running: number;
  waiting: number;
}

/** Returns the token generated for a prompt at a position; deterministic. */
export function expectedToken(prompt: string, position: number): string {
  const digest = createHash("sha256").update(prompt).digest("hex");
  return `${digest.slice(0, 6)}.${position} `;
}

/** Returns the complete output for a prompt. */
export function expectedText(prompt: string, tokens: number): string {
  return Array.from(
    { length: tokens },
    (_, position) => expectedToken(prompt, position),
  ).join("");
}

/**
 * Simulated inference engine with continuous batching and no priorities.
 *
 * It rejects a prompt that contains `[refuse]` with status 400, and destroys
 * the connection of a prompt that contains `[crash]` after the first token.
 */
export class EngineStandin {
  /** Number of generations started, by prompt, without resumed ones. */
  readonly startedRuns = new Map<string, number>();
  /** Number of attempts by prompt, including resumed ones. */
  readonly attempts = new Map<string, number>();
  /** Start of the latest attempt by prompt, in milliseconds of Unix time. */
  readonly lastStartedAt = new Map<string, number>();
  /** Number of streams whose connection closed before the last token. */
  cancelledStreams = 0;
  tokensGenerated = 0;
  /** Delay before the response headers are sent. */
  delayMilliseconds = 0;
  /** Status with which generation requests are rejected; 0 accepts them. */
  refusalStatus = 0;
  #options: IEngineStandinOptions;
  #server: Server;
  #waiting: IStream[] = [];
  #running: IStream[] = [];
  #cache: PrefixCache;
  #samples: ILoadSample[] = [];
  #lastStepMilliseconds = 0;
  #frozenUntil = 0;
  #stopped = false;
  #models = new Set<string>();
  #adapters = new Map<string, object>();
  #role = "both";
  #fencingNumber = 0;

  constructor(options: Partial<IEngineStandinOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#cache = new PrefixCache(this.#options.cacheBlocks);
    this.#server = createServer((request, response) => {
      const requestId = request.headers["x-request-id"];
      if (requestId) response.setHeader("x-request-id", requestId);
      void this.#handle(request, response);
    });
  }

  get runningStreams(): number {
    return this.#running.length;
  }

  /** Starts the engine; resolves with the port that it listens on. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(port, "127.0.0.1", () => {
        void this.#decode();
        resolve((this.#server.address() as { port: number }).port);
      });
    });
  }

  /** Stops at once and destroys all open connections. */
  destroy(): void {
    this.#stopped = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Suspends decoding for the given time; connections stay open. */
  freeze(milliseconds: number): void {
    this.#frozenUntil = performance.now() + milliseconds;
  }

  /** Stops output on the open streams permanently; new ones work. */
  muteOpenStreams(): void {
    for (const stream of [...this.#running, ...this.#waiting]) {
      stream.isMuted = true;
    }
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts: Uint8Array[] = [];
    for await (const part of request) parts.push(part);
    const text = new TextDecoder().decode(concat(parts));
    const path = (request.url ?? "").split("?")[0];
    if (path?.startsWith("/v1/")) {
      await this.#generate(path, JSON.parse(text), response);
    } else if (path === "/figroad/load") {
      sendJson(response, 200, this.#delayedLoad());
    } else if (path === "/figroad/cache-events") {
      const after = Number(/after=(\d+)/.exec(request.url ?? "")?.[1] ?? 0);
      sendJson(response, 200, { events: this.#cacheEvents(after) });
    } else if (path === "/figroad/orders") {
      this.#handleOrder(JSON.parse(text), response);
    } else if (path === "/figroad/state") {
      sendJson(response, 200, this.#state());
    } else if (path === "/standin/counts") {
      sendJson(response, 200, this.#counts());
    } else if (path === "/standin/faults") {
      this.#injectFault(JSON.parse(text), response);
    } else {
      sendJson(response, 404, { error: "unknown path" });
    }
  }

  async #generate(
    path: string,
    // deno-lint-ignore no-explicit-any
    body: any,
    response: ServerResponse,
  ): Promise<void> {
    const chat = path === "/v1/chat/completions";
    const prompt = chat ? promptOfChat(body.messages) : String(body.prompt);
    if (this.refusalStatus > 0) {
      return sendJson(response, this.refusalStatus, { error: "refused" });
    }
    if (prompt.includes("[refuse]")) {
      return sendJson(response, 400, { error: { message: "refused" } });
    }
    this.attempts.set(prompt, (this.attempts.get(prompt) ?? 0) + 1);
    this.lastStartedAt.set(prompt, Date.now());
    if (!body.resume) {
      this.startedRuns.set(prompt, (this.startedRuns.get(prompt) ?? 0) + 1);
    }
    if (this.delayMilliseconds > 0) await sleep(this.delayMilliseconds);
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    this.#waiting.push({
      response,
      prompt,
      words: prompt.split(/\s+/),
      nextToken: body.resume?.tokens ?? 0,
      maximumTokens: body.max_tokens ?? body.max_completion_tokens ?? 16,
      isChat: chat,
      isMuted: false,
    });
  }

  /** Decoding loop: each step generates one token per running stream. */
  async #decode(): Promise<void> {
    let due = performance.now();
    while (!this.#stopped) {
      this.#dropClosed();
      const prefillWords = this.#admit();
      const duration = this.#options.stepMilliseconds +
        this.#options.perStreamMilliseconds * this.#running.length +
        this.#options.perPrefillWordMilliseconds * prefillWords;
      this.#lastStepMilliseconds = duration;
      const start = Math.max(due, performance.now() - duration);
      due = Math.max(start + duration, this.#frozenUntil);
      await sleep(Math.max(0, due - performance.now()));
      this.#sampleLoad();
      this.#generateTokens();
    }
  }

  #admit(): number {
    let prefillWords = 0;
    while (
      this.#waiting.length > 0 &&
      this.#running.length < this.#options.maximumStreams
    ) {
      const stream = this.#waiting.shift() as IStream;
      const cached = this.#cache.insert(stream.words);
      prefillWords += stream.words.length - cached;
      this.#running.push(stream);
    }
    return prefillWords;
  }

  #dropClosed(): void {
    const open = (stream: IStream) => !stream.response.destroyed;
    const before = this.#running.length + this.#waiting.length;
    this.#running = this.#running.filter(open);
    this.#waiting = this.#waiting.filter(open);
    this.cancelledStreams += before - this.#running.length -
      this.#waiting.length;
  }

  #generateTokens(): void {
    const finished = new Set<IStream>();
    for (const stream of this.#running) {
      if (stream.response.destroyed) continue;
      if (stream.nextToken >= stream.maximumTokens) {
        finished.add(stream);
        this.#finish(stream);
        continue;
      }
      if (!stream.isMuted) this.#sendToken(stream);
      stream.nextToken += 1;
      this.tokensGenerated += 1;
      if (stream.prompt.includes("[crash]")) stream.response.destroy();
    }
    this.#running = this.#running.filter((stream) => !finished.has(stream));
  }

  #sendToken(stream: IStream): void {
    const text = expectedToken(stream.prompt, stream.nextToken);
    const choice = stream.isChat
      ? { index: 0, delta: { content: text }, finish_reason: null }
      : { index: 0, text, finish_reason: null };
    stream.response.write(`data: ${JSON.stringify({ choices: [choice] })}\n\n`);
  }

  #finish(stream: IStream): void {
    if (stream.isMuted) return;
    const choice = stream.isChat
      ? { index: 0, delta: {}, finish_reason: "stop" }
      : { index: 0, text: "", finish_reason: "stop" };
    const data = JSON.stringify({ choices: [choice] });
    stream.response.end(`data: ${data}\n\ndata: [DONE]\n\n`);
  }

  #sampleLoad(): void {
    const at = performance.now();
    const running = this.#running.length;
    this.#samples.push({ at, running, waiting: this.#waiting.length });
    const oldest = at - 2 * this.#options.loadLagMilliseconds - 1_000;
    while ((this.#samples[0]?.at ?? at) < oldest) this.#samples.shift();
  }

  #delayedLoad(): object {
    const until = performance.now() - this.#options.loadLagMilliseconds;
    const past = this.#samples.findLast((sample) => sample.at <= until);
    return {
      running: past?.running ?? 0,
      waiting: past?.waiting ?? 0,
      stepMilliseconds: this.#lastStepMilliseconds,
      cacheUse: this.#cache.utilization,
      ageMilliseconds: past ? performance.now() - past.at : 0,
    };
  }

  /** Omits every seventh event, to simulate event loss. */
  #cacheEvents(after: number): object[] {
    return this.#cache.changes
      .map((change, index) => ({ sequence: index + 1, ...change }))
      .filter(({ sequence }) => sequence > after && sequence % 7 !== 0);
  }

  // deno-lint-ignore no-explicit-any
  #handleOrder(message: any, response: ServerResponse): void {
    if (this.#options.checksFencing) {
      if (message.fencingNumber < this.#fencingNumber) {
        return sendJson(response, 409, { error: "fencing number is stale" });
      }
      this.#fencingNumber = message.fencingNumber;
    }
    const { kind, model, role, adapter, version } = message.order;
    if (kind === "load-model") this.#models.add(model);
    if (kind === "unload-model") this.#models.delete(model);
    if (kind === "load-adapter") {
      this.#adapters.set(`${model}/${adapter}`, { model, adapter, version });
    }
    if (kind === "set-role") this.#role = role;
    sendJson(response, 200, this.#state());
  }

  #state(): object {
    return {
      models: [...this.#models],
      adapters: [...this.#adapters.values()],
      role: this.#role,
      fencingNumber: this.#fencingNumber,
    };
  }

  #counts(): object {
    return {
      begun: Object.fromEntries(this.startedRuns),
      attempts: Object.fromEntries(this.attempts),
      lastBegun: Object.fromEntries(this.lastStartedAt),
      cancelled: this.cancelledStreams,
      tokensGenerated: this.tokensGenerated,
      running: this.#running.length,
      waiting: this.#waiting.length,
    };
  }

  // deno-lint-ignore no-explicit-any
  #injectFault(message: any, response: ServerResponse): void {
    if (message.freezeMilliseconds) this.freeze(message.freezeMilliseconds);
    if (message.muteOpenStreams) this.muteOpenStreams();
    this.delayMilliseconds = message.lateMilliseconds ??
      this.delayMilliseconds;
    sendJson(response, 200, {});
  }
}

function promptOfChat(messages: { role: string; content: unknown }[]): string {
  return messages.map(({ role, content }) =>
    `${role}: ${
      typeof content === "string" ? content : JSON.stringify(content)
    }`
  ).join("\n");
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

function concat(parts: Uint8Array[]): Uint8Array {
  const whole = new Uint8Array(
    parts.reduce((length, part) => length + part.length, 0),
  );
  let offset = 0;
  for (const part of parts) {
    whole.set(part, offset);
    offset += part.length;
  }
  return whole;
}
