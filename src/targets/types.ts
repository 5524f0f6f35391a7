import type { Result } from "neverthrow";
import { z } from "zod";
import type { Deadline, Failure, IDisposable, IEvent } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";

/** A chat message in a caller's request. */
export const chatMessageSchema = z.looseObject({
  role: z.string(),
  content: z.unknown(),
});

/** A request for an engine to generate text. */
export const generationSchema = z.object({
  /** Model name as the engine uses it. */
  model: z.string(),
  /** Endpoint that the caller used. */
  endpoint: z.enum(["/v1/chat/completions", "/v1/completions"]),
  /** The caller's request body, without `stream`. */
  body: z.record(z.string(), z.unknown()),
});
export type Generation = z.infer<typeof generationSchema>;

/** Output of an earlier attempt, which the engine must not repeat. */
export interface IResumePoint {
  readonly text: string;
  readonly tokens: number;
}

/** A piece of generated output. */
export type GenerationChunk =
  | { readonly kind: "tokens"; readonly text: string; readonly tokens: number }
  | { readonly kind: "end"; readonly finishReason: string };

/** Options of one attempt at an engine. */
export interface IGenerateOptions {
  readonly deadline: Deadline;
  /** Aborting it cancels the stream at the engine. */
  readonly signal: AbortSignal;
  readonly resume?: IResumePoint;
  /** Time by which the first chunk must have arrived. */
  readonly firstTokenDeadline?: Deadline;
  /**
   * Whether to open a new connection. The target may close an idle connection
   * while a request is written to it; it is then unknown whether the target
   * has read the request.
   */
  readonly freshConnection?: boolean;
  /** Longest time between two chunks, in milliseconds. */
  readonly silenceMilliseconds: number;
}

/** Load of an engine as reported by the engine. */
export const loadReportSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  /** Duration of the latest decoding step, in milliseconds. */
  stepMilliseconds: z.number(),
  /** Share of the prefix cache in use, 0 to 1. */
  cacheUse: z.number(),
  /** Age of the report when it was sent, in milliseconds. */
  ageMilliseconds: z.number(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** A change in an engine's prefix cache. */
export const cacheEventSchema = z.object({
  sequence: z.number(),
  kind: z.enum(["stored", "evicted", "cleared"]),
  /** Hash of the prompt prefix; absent if the whole cache was cleared. */
  prefix: z.string().optional(),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** An order that changes what an engine serves. */
export const engineOrderSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("load-model"), model: z.string() }),
  z.object({ kind: z.literal("unload-model"), model: z.string() }),
  z.object({
    kind: z.literal("load-adapter"),
    model: z.string(),
    adapter: z.string(),
    version: z.string(),
  }),
  z.object({
    kind: z.literal("set-role"),
    role: z.enum(["prefill", "decode", "both"]),
  }),
  z.object({ kind: z.literal("export-cache"), prefix: z.string() }),
  z.object({
    kind: z.literal("import-cache"),
    prefix: z.string(),
    fromAddress: z.string(),
    fromPort: z.number(),
  }),
]);
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** The models, adapters and role that an engine reports. */
export const engineStateSchema = z.object({
  models: z.array(z.string()),
  adapters: z.array(z.object({
    model: z.string(),
    adapter: z.string(),
    version: z.string(),
  })),
  role: z.enum(["prefill", "decode", "both"]),
  /** Highest fencing number seen; 0 on engines that ignore it. */
  fencingNumber: z.number(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/** Adapter to model engines. */
export interface IEngineAdapter {
  /**
   * Runs one attempt and yields its output. Returns only after an `end` chunk;
   * otherwise throws a `GenerationError`.
   */
  generate(
    engine: Engine,
    generation: Generation,
    options: IGenerateOptions,
  ): AsyncGenerator<GenerationChunk, void>;
  loadReport(
    engine: Engine,
    options: { deadline: Deadline },
  ): Promise<Result<LoadReport, Failure>>;
  /** Returns the events after a sequence number; some may be missing. */
  cacheEvents(
    engine: Engine,
    after: number,
    options: { deadline: Deadline },
  ): Promise<Result<CacheEvent[], Failure>>;
  order(
    engine: Engine,
    order: EngineOrder,
    options: { deadline: Deadline; fencingNumber: number },
  ): Promise<Result<EngineState, Failure>>;
  state(
    engine: Engine,
    options: { deadline: Deadline },
  ): Promise<Result<EngineState, Failure>>;
}

/** A request that is forwarded to a plain service. */
export interface IPlainRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IHeaders;
  readonly body: Uint8Array;
}

/** Header values by name in lower case. */
export interface IHeaders {
  readonly [name: string]: string | readonly string[] | undefined;
}

/** The response of a plain service, with a streamed body. */
export interface IPlainResponse {
  readonly status: number;
  readonly headers: IHeaders;
  /** Throws a `GenerationError` if the body is incomplete. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Address of a target of a plain service. */
export interface IPlainTarget {
  readonly id: string;
  readonly address: string;
  readonly port: number;
}

/** Options of a call to a plain service. */
export interface IPlainCallOptions {
  /** Time by which the headers of the response must have arrived. */
  readonly headDeadline: Deadline;
  /** Time by which the whole response must have arrived. */
  readonly deadline: Deadline;
  readonly signal: AbortSignal;
  /** Whether to open a new connection. */
  readonly freshConnection: boolean;
}

/** Adapter to plain services. */
export interface IPlainAdapter {
  call(
    target: IPlainTarget,
    request: IPlainRequest,
    options: IPlainCallOptions,
  ): Promise<Result<IPlainResponse, Failure>>;
}

/** An entry of the platform's list. */
export const platformEntrySchema = z.object({
  id: z.string(),
  state: z.enum(["live", "leaving"]),
});
export type PlatformEntry = z.infer<typeof platformEntrySchema>;

/** Adapter to the platform's list of instances and targets. */
export interface IPlatformAdapter extends IDisposable {
  /** The list as last read, which may be out of date. */
  readonly entries: readonly PlatformEntry[];
  readonly onChange: IEvent<readonly PlatformEntry[]>;
}
